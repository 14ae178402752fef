use serde_json::{json, Value};

/// One measured value at one fleet size.
#[derive(Clone, Debug, PartialEq)]
pub struct Measure {
    pub role: String,
    pub name: String,
    pub unit: String,
    pub value: f64,
    /// Whether the value is a count or bytes, which the same seed reproduces, rather than a time or memory size of the machine.
    pub exact: bool,
}

/// The values measured at one fleet size.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Measurements {
    pub schedulers: usize,
    pub measures: Vec<Measure>,
    /// Unmet expectations and omissions.
    pub notes: Vec<String>,
}

/// Adds measures of one role.
pub struct Ledger<'a> {
    outcome: &'a mut Measurements,
    role: &'static str,
}

impl Measurements {
    pub fn new(schedulers: usize) -> Measurements {
        Measurements { schedulers, ..Measurements::default() }
    }

    pub fn of(&mut self, role: &'static str) -> Ledger<'_> {
        Ledger { outcome: self, role }
    }

    pub fn get(&self, role: &str, name: &str) -> Option<f64> {
        self.measures.iter().find(|m| m.role == role && m.name == name).map(|m| m.value)
    }

    /// Adds the measurements of another part at the same size.
    pub fn merge(&mut self, other: Measurements) {
        self.measures.extend(other.measures);
        self.notes.extend(other.notes);
    }

    /// The measures that the same seed reproduces.
    pub fn exact(&self) -> Vec<&Measure> {
        self.measures.iter().filter(|m| m.exact).collect()
    }

    pub fn to_json(&self) -> Value {
        let of = |m: &Measure| json!({"role": m.role, "name": m.name, "unit": m.unit, "value": m.value, "exact": m.exact});
        let measures: Vec<Value> = self.measures.iter().map(of).collect();
        json!({"schedulers": self.schedulers, "measures": measures, "notes": self.notes})
    }

    /// Parses the output of `to_json`; `None` if it has another form.
    pub fn of_json(v: &Value) -> Option<Measurements> {
        let text = |v: &Value| v.as_str().map(str::to_owned);
        let measure = |m: &Value| {
            Some(Measure {
                role: text(&m["role"])?,
                name: text(&m["name"])?,
                unit: text(&m["unit"])?,
                value: m["value"].as_f64()?,
                exact: m["exact"].as_bool()?,
            })
        };
        Some(Measurements {
            schedulers: v["schedulers"].as_u64()? as usize,
            measures: v["measures"].as_array()?.iter().map(measure).collect::<Option<_>>()?,
            notes: v["notes"].as_array()?.iter().map(text).collect::<Option<_>>()?,
        })
    }
}

impl Ledger<'_> {
    fn put(&mut self, name: &str, unit: &str, value: f64, exact: bool) {
        // Infinite values and NaN are dropped because JSON cannot represent them.
        if value.is_finite() {
            let (role, name, unit) = (self.role.to_owned(), name.to_owned(), unit.to_owned());
            self.outcome.measures.push(Measure { role, name, unit, value, exact });
        }
    }

    /// Adds a count or a number of bytes.
    pub fn count(&mut self, name: &str, unit: &str, value: f64) {
        self.put(name, unit, value, true);
    }

    /// Adds a time or memory size that depends on the machine.
    pub fn rough(&mut self, name: &str, unit: &str, value: Option<f64>) {
        if let Some(value) = value {
            self.put(name, unit, value, false);
        }
    }
}
