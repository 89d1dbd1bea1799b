//! Registry of the services of a process, by name.

use std::any::Any;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use jy_types::name::Name;
use thiserror::Error;

/// Result of a registry operation.
pub type Result<T> = std::result::Result<T, RegistryError>;

/// Why a service was not registered or not found.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RegistryError {
    /// No service is registered under the name.
    #[error("no service is registered as {0:?}; register it before looking it up")]
    Unknown(Name),
    /// The service registered under the name has another type.
    #[error("service {0:?} has another type than requested")]
    WrongType(Name),
    /// A service is already registered under the name.
    #[error("service {0:?} is already registered")]
    AlreadyRegistered(Name),
}

/// Services of a process, by name.
#[derive(Clone, Default)]
pub struct ServiceRegistry {
    services: Rc<RefCell<BTreeMap<Name, Rc<dyn Any>>>>,
}

impl ServiceRegistry {
    /// Creates an empty registry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a service under a name.
    ///
    /// # Errors
    ///
    /// [`RegistryError::AlreadyRegistered`] if the name is already in use.
    pub fn register<T: 'static>(&self, name: &str, service: Rc<T>) -> Result<()> {
        let mut services = self.services.borrow_mut();
        if services.contains_key(name) {
            return Err(RegistryError::AlreadyRegistered(name.into()));
        }
        services.insert(name.into(), service);
        Ok(())
    }

    /// Returns the service registered under a name.
    ///
    /// # Errors
    ///
    /// [`RegistryError::Unknown`] if no service has the name, [`RegistryError::WrongType`] if the service is
    /// not a `T`.
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
