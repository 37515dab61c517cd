#[doc = "A call of a plain service."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Call {
    pub name: Name,
    #[doc = "Whether the call may be sent more than once."]
    pub repeatable: bool,
}
#[doc = "A change to the plan list or the usage list, as it stands on the log."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Change {
    #[doc = "The version of the list that the change was made against; 0 before the first."]
    pub base: u64,
    pub edit: Edit,
    pub id: Name,
}
#[doc = "What the change does."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub enum Edit {
    #[doc = "Replaces the whole plan list."]
    #[serde(rename = "replace_plans")]
    ReplacePlans(Plans),
    #[doc = "Replaces the whole usage list."]
    #[serde(rename = "replace_usage")]
    ReplaceUsage(Usage),
    #[doc = "Adds or replaces the named workspaces and keeps the others."]
    #[serde(rename = "put_plans")]
    PutPlans(Plans),
    #[doc = "Adds or replaces the named models, endpoints and services and keeps the others."]
    #[serde(rename = "put_usage")]
    PutUsage(Usage),
}
#[doc = "An engine or a plain service."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EndpointEntry {
    pub address: Name,
    #[doc = "Whether the endpoint refuses orders with an old fencing number."]
    #[serde(default)]
    pub checks_fencing: bool,
    pub domain: Name,
    pub kind: Name,
    #[doc = "Model that an engine starts with."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub model: ::std::option::Option<::std::string::String>,
    pub name: Name,
    #[doc = "Service that a plain endpoint offers."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub service: ::std::option::Option<::std::string::String>,
}
#[doc = "SHA-256 hash of a bearer key, as 64 hexadecimal digits."]
#[derive(:: serde :: Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct KeyHash(::std::string::String);
impl ::std::ops::Deref for KeyHash {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<KeyHash> for ::std::string::String {
    fn from(value: KeyHash) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for KeyHash {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 64usize {
            return Err("longer than 64 characters".into());
        }
        if value.chars().count() < 64usize {
            return Err("shorter than 64 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for KeyHash {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for KeyHash {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for KeyHash {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
#[doc = "A model and the version and adapters that are served."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    #[doc = "Adapters that engines are to load with it."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub adapters: ::std::vec::Vec<::std::string::String>,
    #[doc = "Engines that keep the model even without demand."]
    #[serde(default = "defaults::default_u64::<u32, 1>")]
    pub copies_least: u32,
    pub name: Name,
    pub version: Name,
    #[doc = "Size in the weight store, in bytes."]
    #[serde(default)]
    pub weight_bytes: u64,
}
#[doc = "A name, a version or an address; not empty."]
#[derive(:: serde :: Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct Name(::std::string::String);
impl ::std::ops::Deref for Name {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<Name> for ::std::string::String {
    fn from(value: Name) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for Name {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 128usize {
            return Err("longer than 128 characters".into());
        }
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for Name {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Name {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for Name {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
#[doc = "What one workspace may use."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    #[doc = "Adapters that the workspace may name."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub adapters: ::std::vec::Vec<::std::string::String>,
    #[doc = "Most requests at once over the whole fleet."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 1000>")]
    pub concurrency: ::std::num::NonZeroU32,
    #[doc = "SHA-256 hashes of the bearer keys, as 64 hexadecimal digits."]
    pub key_hashes: ::std::vec::Vec<KeyHash>,
    #[doc = "Longest time limit that a request may name, in milliseconds."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 600000>")]
    pub longest_time_limit_ms: ::std::num::NonZeroU64,
    #[doc = "Models that the workspace may name."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub models: ::std::vec::Vec<::std::string::String>,
    #[doc = "Longest prompt, in tokens."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 2000000>")]
    pub prompt_tokens: ::std::num::NonZeroU64,
    #[doc = "Largest rate of requests over the whole fleet."]
    #[serde(default = "defaults::plan_requests_per_second")]
    pub requests_per_second: f64,
    #[doc = "Services that the workspace may call."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub services: ::std::vec::Vec<::std::string::String>,
    #[doc = "Time limit of a request that names none, in milliseconds."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 60000>")]
    pub time_limit_ms: ::std::num::NonZeroU64,
    #[doc = "Most prompt and answer tokens a minute over the whole fleet."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 1000000000>")]
    pub tokens_per_minute: ::std::num::NonZeroU64,
    pub workspace: Name,
}
#[doc = "The plans that the workspaces hold."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Plans {
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub workspaces: ::std::vec::Vec<Plan>,
}
#[doc = "A plain service and its calls."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub calls: ::std::vec::Vec<Call>,
    pub name: Name,
}
#[doc = "The models, endpoints and services that the plans use."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub endpoints: ::std::vec::Vec<EndpointEntry>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub models: ::std::vec::Vec<ModelEntry>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub services: ::std::vec::Vec<ServiceEntry>,
}
#[doc = " Generation of default values for serde."]
pub mod defaults {
    pub(super) fn default_i64<T, const V: i64>() -> T
    where
        T: ::std::convert::TryFrom<i64>,
        <T as ::std::convert::TryFrom<i64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_nzu64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<::std::num::NonZeroU64>,
        <T as ::std::convert::TryFrom<::std::num::NonZeroU64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(::std::num::NonZeroU64::try_from(V).unwrap()).unwrap()
    }
    pub(super) fn plan_requests_per_second() -> f64 {
        100.0_f64
    }
}
#[doc = " Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
