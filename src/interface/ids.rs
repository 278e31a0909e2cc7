//! Ids. Each is a number chosen by the host; the decisions compare them and hash some.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// The number of a relay in its fleet, from 0.
    RelayId(u32);
    /// A message; never reused.
    MessageId(u64);
    /// A destination.
    DestinationId(u32);
    /// An address of a destination; opaque.
    EndpointId(u64);
    /// A message class, by position in [`crate::interface::PolicySettings::classes`].
    ClassId(u16);
    /// A tenant, by position in [`crate::interface::PolicySettings::tenant_quotas`].
    TenantId(u32);
    /// A zone.
    ZoneId(u16);
    /// A kind of destination, by position in [`crate::interface::PolicySettings::destination_kinds`].
    DestinationKindId(u16);
    /// An ordering key: messages with the same key are delivered in the order in which they were submitted.
    OrderingKey(u64);
    /// The number of a message's attempt, from 0.
    AttemptNumber(u8);
}
