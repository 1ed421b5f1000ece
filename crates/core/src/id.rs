//! Identifiers: one type per kind of name, so that names of different kinds can't be confused.

#[cfg(test)]
mod tests;

use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Maximum length of a name in bytes, short enough for several names in one store key.
const MAX_LEN: usize = 128;

/// The error for a text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind} {text:?}: {problem}")]
pub struct IdError {
    kind: &'static str,
    text: String,
    problem: &'static str,
}

/// Checks that a text is a valid name.
fn validate(kind: &'static str, text: &str) -> Result<Arc<str>, IdError> {
    let invalid = |problem| {
        let text = text.chars().take(MAX_LEN).collect();
        Err(IdError { kind, text, problem })
    };
    if text.is_empty() {
        return invalid("is empty; a name needs at least one character");
    }
    if text.len() > MAX_LEN {
        return invalid("is longer than 128 bytes");
    }
    // Names are used in store keys, URL paths and header values, so only characters that need no
    // escaping in any of them are allowed.
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':');
    if !text.bytes().all(allowed) {
        return invalid("has a character other than letters, digits and -_.:");
    }
    Ok(Arc::from(text))
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
        )]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                validate($kind, text).map(Self)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl schemars::JsonSchema for $name {
            fn schema_name() -> std::borrow::Cow<'static, str> {
                stringify!($name).into()
            }

            fn json_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
                schemars::json_schema!({
                    "type": "string",
                    "pattern": "^[A-Za-z0-9._:-]{1,128}$",
                })
            }
        }
    };
}

id!(
    /// A service, as named by its declaration and by the first segment of a request's path.
    ServiceId,
    "service"
);
id!(
    /// A group of VMs that serve the same services.
    PoolId,
    "pool"
);
id!(
    /// A virtual machine of the fleet.
    VmId,
    "VM"
);
id!(
    /// A queue that client accounts submit jobs to.
    QueueId,
    "queue"
);
id!(
    /// An availability zone.
    ZoneId,
    "availability zone"
);
id!(
    /// A rack: the smallest failure domain above a VM.
    RackId,
    "rack"
);
id!(
    /// A customer, on whose behalf requests are made.
    CustomerId,
    "customer"
);
id!(
    /// A team, which shares a quota.
    TeamId,
    "team"
);
id!(
    /// A node of teaselgap itself, which takes requests and passes them to VMs.
    NodeId,
    "node"
);
id!(
    /// A request; the caller's idempotency key where one was sent.
    RequestId,
    "request"
);
