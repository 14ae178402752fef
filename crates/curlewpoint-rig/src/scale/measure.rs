use serde_json::{json, Value};

/// One figure of one size.
#[derive(Clone, Debug, PartialEq)]
pub struct Measure {
    pub role: String,
    pub name: String,
    pub unit: String,
    pub value: f64,
    /// A count, or bytes: the same again from the same seed. Else a time or a size of the machine's.
    pub exact: bool,
}

/// What was measured at one size.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Measurements {
    pub schedulers: usize,
    pub measures: Vec<Measure>,
    /// What did not come as it should, and what was left out.
    pub notes: Vec<String>,
}

/// Collects measures of one role.
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

    /// Takes in what another part has measured at the same size.
    pub fn merge(&mut self, other: Measurements) {
        self.measures.extend(other.measures);
        self.notes.extend(other.notes);
    }

    /// Those that the same seed gives again.
    pub fn exact(&self) -> Vec<&Measure> {
        self.measures.iter().filter(|m| m.exact).collect()
    }

    pub fn to_json(&self) -> Value {
        let of = |m: &Measure| json!({"role": m.role, "name": m.name, "unit": m.unit, "value": m.value, "exact": m.exact});
        let measures: Vec<Value> = self.measures.iter().map(of).collect();
        json!({"schedulers": self.schedulers, "measures": measures, "notes": self.notes})
    }

    /// Reads what `to_json` wrote; none: it is something else.
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
        // One that is no number is none: JSON has no way to write it.
        if value.is_finite() {
            let (role, name, unit) = (self.role.to_owned(), name.to_owned(), unit.to_owned());
            self.outcome.measures.push(Measure { role, name, unit, value, exact });
        }
    }

    /// A count, or bytes.
    pub fn count(&mut self, name: &str, unit: &str, value: f64) {
        self.put(name, unit, value, true);
    }

    /// A time or a size that the machine has a say in.
    pub fn rough(&mut self, name: &str, unit: &str, value: Option<f64>) {
        if let Some(value) = value {
            self.put(name, unit, value, false);
        }
    }
}
