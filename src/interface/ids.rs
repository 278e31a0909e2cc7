//! Ids. Each is a number that its host has chosen; the decisions compare them and hash some.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A relay, counted from 0 among its peers.
    RelayId(u32);
    /// A message; never used twice.
    MessageId(u64);
    /// A destination.
    DestinationId(u32);
    /// One address of a destination; opaque.
    EndpointId(u64);
    /// A message class, by position in [`crate::interface::PolicySettings::classes`].
    ClassId(u16);
    /// A customer, by position in [`crate::interface::PolicySettings::tenant_quotas`].
    TenantId(u32);
    /// A place, by number.
    ZoneId(u16);
    /// A kind of destination, by position in [`crate::interface::PolicySettings::destination_kinds`].
    DestinationKindId(u16);
    /// Messages with the same key are delivered in the order in which they were submitted.
    OrderingKey(u64);
    /// The number of a message's attempt, from 0.
    AttemptNumber(u8);
}
