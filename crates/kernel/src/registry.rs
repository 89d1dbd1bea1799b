//! Services of one process, found by name.

use std::any::Any;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use jy_types::name::Name;
use thiserror::Error;

/// Result of this module.
pub type Result<T> = std::result::Result<T, RegistryError>;

/// Why a service was not found.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RegistryError {
    /// No service has the name.
    #[error("no service is named {0:?}; it must be provided before it is looked up")]
    Unknown(Name),
    /// The service of that name has another type.
    #[error("service {0:?} is of another type")]
    WrongType(Name),
    /// A service of the name is there already.
    #[error("service {0:?} is provided twice")]
    Taken(Name),
}

/// The services of one process.
#[derive(Clone, Default)]
pub struct ServiceRegistry {
    services: Rc<RefCell<BTreeMap<Name, Rc<dyn Any>>>>,
}

impl ServiceRegistry {
    /// Makes an empty registry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Provides a service under a name.
    ///
    /// # Errors
    ///
    /// [`RegistryError::Taken`] if the name is in use.
    pub fn provide<T: 'static>(&self, name: &str, service: Rc<T>) -> Result<()> {
        let mut services = self.services.borrow_mut();
        if services.contains_key(name) {
            return Err(RegistryError::Taken(name.into()));
        }
        services.insert(name.into(), service);
        Ok(())
    }

    /// Finds a service by name.
    ///
    /// # Errors
    ///
    /// [`RegistryError::Unknown`] or [`RegistryError::WrongType`].
    pub fn find<T: 'static>(&self, name: &str) -> Result<Rc<T>> {
        let services = self.services.borrow();
        let service = services
            .get(name)
            .ok_or_else(|| RegistryError::Unknown(name.into()))?;
        Rc::clone(service)
            .downcast()
            .map_err(|_| RegistryError::WrongType(name.into()))
    }
}
