//! Unparsed settings from flags and environment variables.

use {
    super::{
        error::{MissingSnafu, SettingsError, UnknownFlagSnafu, UsageSnafu, ValueSnafu},
        spec::{SETTINGS, SettingSpec, env_name},
    },
    indexmap::IndexMap,
    lexopt::{Arg, Parser},
    snafu::{OptionExt, ResultExt},
    std::{ffi::OsString, fmt::Display, str::FromStr},
};

/// The values that were given, by flag.
#[derive(Default)]
pub struct RawSettings {
    values: IndexMap<&'static str, String>,
    pub help: bool,
    pub check: bool,
}

impl RawSettings {
    /// Collects the values; flags take precedence over environment variables.
    pub fn collect(
        args: impl IntoIterator<Item = OsString>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingsError> {
        let mut raw = Self::default();
        for spec in SETTINGS {
            let given = env(&env_name(spec.flag)).filter(|it| !it.is_empty());
            raw.values.extend(given.map(|it| (spec.flag, it)));
        }
        let mut parser = Parser::from_args(args);
        while let Some(arg) = parser.next().context(UsageSnafu)? {
            match arg {
                Arg::Long("help") | Arg::Short('h') => raw.help = true,
                Arg::Long("check") => raw.check = true,
                Arg::Long(flag) => {
                    let flag = flag.to_owned();
                    let spec = SETTINGS.iter().find(|it| it.flag == flag);
                    let spec = spec.context(UnknownFlagSnafu { flag })?;
                    let value = parser.value().context(UsageSnafu)?;
                    raw.values.insert(spec.flag, value.to_string_lossy().into_owned());
                }
                other => return Err(other.unexpected()).context(UsageSnafu),
            }
        }
        Ok(raw)
    }

    /// The parsed value of a setting or of its default; `None` if it is unset.
    ///
    /// # Errors
    /// The value can't be parsed.
    pub fn get<T>(&self, flag: &str) -> Result<Option<T>, SettingsError>
    where
        T: FromStr,
        T::Err: Display,
    {
        let spec = find_spec(flag);
        let given = self.values.get(flag).map_or(spec.default, String::as_str);
        if given.is_empty() {
            return Ok(None);
        }
        given.parse().map(Some).map_err(|err: T::Err| invalid_value(spec, given, err))
    }

    /// Whether a setting has a value.
    pub fn is_set(&self, flag: &str) -> bool {
        self.values.get(flag).is_some_and(|it| !it.is_empty())
    }

    /// The parsed value of a required setting.
    ///
    /// # Errors
    /// The value is missing or can't be parsed.
    pub fn required<T>(&self, flag: &str) -> Result<T, SettingsError>
    where
        T: FromStr,
        T::Err: Display,
    {
        let spec = find_spec(flag);
        let missing = MissingSnafu { flag: spec.flag, env: env_name(flag), allowed: spec.allowed };
        self.get(flag)?.context(missing)
    }

    /// The value of a numeric setting between `min` and `max`, inclusive.
    ///
    /// # Errors
    /// The value is missing, not a number or out of bounds.
    pub fn bounded(&self, flag: &str, min: u64, max: u64) -> Result<u64, SettingsError> {
        let value: u64 = self.required(flag)?;
        match (min..=max).contains(&value) {
            true => Ok(value),
            false => Err(invalid_value(find_spec(flag), &value.to_string(), "it is out of bounds")),
        }
    }
}

/// An error that names the setting, its value and the allowed values.
pub fn invalid_value(spec: &SettingSpec, value: &str, detail: impl Display) -> SettingsError {
    let (flag, allowed) = (spec.flag, spec.allowed);
    ValueSnafu { flag, value, allowed, detail: detail.to_string() }.build()
}

/// The specification of a setting.
///
/// # Panics
/// If there is no such setting.
pub fn find_spec(flag: &str) -> &'static SettingSpec {
    SETTINGS.iter().find(|it| it.flag == flag).expect("the setting is in the list")
}
