//! Commands and flags of the command line.

use std::str::FromStr;

use gumdrop::Options;

/// Output format of answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OutputFormat {
    /// A table with columns.
    #[default]
    Table,
    /// JSON, for scripts.
    Json,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            other => Err(format!("{other:?} is not an output form; allowed: table, json")),
        }
    }
}

/// The whole command line.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// A daemon's address for operators.
    #[options(help = "a daemon's operators' address (or DAHLIA_ADDRESS)", meta = "HOST:PORT")]
    pub address: Option<String>,
    /// The operators' token.
    #[options(help = "the operators' token (or DAHLIA_TOKEN)", meta = "TOKEN")]
    pub token: Option<String>,
    /// Output format of answers.
    #[options(help = "table or json", meta = "FORM", default = "table")]
    pub output: OutputFormat,
    /// The command.
    #[options(command)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug, Options)]
pub enum Command {
    /// Commands on programs.
    #[options(help = "create, list, show and close programs")]
    Programs(Programs),
    /// Commands on budgets.
    #[options(help = "show and raise programs' budgets")]
    Budgets(Budgets),
    /// Shows a program's sessions.
    #[options(help = "show a program's chains, calls and held cache")]
    Sessions(Sessions),
    /// Commands on machines.
    #[options(help = "list daemons and stop one as planned")]
    Machines(Machines),
    /// Commands on engines.
    #[options(help = "list engines")]
    Engines(Engines),
    /// Commands on the configuration.
    #[options(help = "show, compare, apply and follow the configuration")]
    Configuration(Configuration),
}

/// `programs`.
#[derive(Debug, Options)]
pub struct Programs {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The command of this group.
    #[options(command, required)]
    pub command: Option<ProgramsCommand>,
}

/// What to do with programs.
#[derive(Debug, Options)]
pub enum ProgramsCommand {
    /// Creates a program.
    #[options(help = "create a program")]
    Create(CreateProgram),
    /// Lists programs.
    #[options(help = "list programs")]
    List(ListPrograms),
    /// Shows a program.
    #[options(help = "show a program")]
    Show(ProgramArguments),
    /// Ends a program.
    #[options(help = "end a program and free the engines' memory")]
    Close(ProgramArguments),
}

/// `programs create`.
#[derive(Debug, Options)]
pub struct CreateProgram {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The tenant.
    #[options(help = "whose program it is", meta = "NAME", required)]
    pub tenant: String,
    /// The model.
    #[options(help = "model, adapter and version", meta = "NAME", required)]
    pub model: String,
    /// The budget in tokens.
    #[options(help = "tokens in all", meta = "TOKENS", required)]
    pub budget: u64,
    /// Time without a call after which the program ends, in milliseconds.
    #[options(
        help = "ends after this long without a call (default: 4 hours)",
        meta = "MILLISECONDS"
    )]
    pub idle_expiry: u64,
    /// Idempotency key of the request.
    #[options(help = "name of this request; repeating it creates nothing new", meta = "KEY")]
    pub request_key: String,
}

/// `programs list`.
#[derive(Debug, Options)]
pub struct ListPrograms {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Restricts the list to this tenant's programs.
    #[options(help = "only this tenant's", meta = "NAME")]
    pub tenant: String,
    /// Maximum number of entries.
    #[options(help = "at most so many (default: 100)", meta = "NUMBER")]
    pub limit: u32,
    /// Whether to include programs that have ended.
    #[options(help = "also those that have ended")]
    pub closed: bool,
}

/// A command on one program.
#[derive(Debug, Options)]
pub struct ProgramArguments {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The program.
    #[options(free, required, help = "the program, e.g. p-3-00f3a1b2c4d5e6f7")]
    pub program: String,
}

/// `budgets`.
#[derive(Debug, Options)]
pub struct Budgets {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The command of this group.
    #[options(command, required)]
    pub command: Option<BudgetsCommand>,
}

/// What to do with budgets.
#[derive(Debug, Options)]
pub enum BudgetsCommand {
    /// Shows a program's budget.
    #[options(help = "show a program's budget")]
    Show(ProgramArguments),
    /// Raises a program's budget.
    #[options(help = "raise a program's budget to a total")]
    Raise(RaiseBudget),
}

/// `budgets raise`.
#[derive(Debug, Options)]
pub struct RaiseBudget {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The program.
    #[options(free, required, help = "the program")]
    pub program: String,
    /// The new total.
    #[options(help = "the new total in tokens", meta = "TOKENS", required)]
    pub total: u64,
}

/// `sessions`.
#[derive(Debug, Options)]
pub struct Sessions {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The program.
    #[options(free, required, help = "the program")]
    pub program: String,
}

/// `machines`.
#[derive(Debug, Options)]
pub struct Machines {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The command of this group.
    #[options(command, required)]
    pub command: Option<MachinesCommand>,
}

/// What to do with machines.
#[derive(Debug, Options)]
pub enum MachinesCommand {
    /// Lists daemons.
    #[options(help = "list the daemons that the asked one knows")]
    List(NoArguments),
    /// Starts a planned stop of a daemon.
    #[options(help = "start a planned stop of the asked daemon")]
    Drain(DrainMachine),
}

/// `machines drain`.
#[derive(Debug, Options)]
pub struct DrainMachine {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The daemon.
    #[options(free, required, help = "the daemon, e.g. d11; must be the one at --address")]
    pub daemon: String,
}

/// `engines`.
#[derive(Debug, Options)]
pub struct Engines {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The command of this group.
    #[options(command, required)]
    pub command: Option<EnginesCommand>,
}

/// What to do with engines.
#[derive(Debug, Options)]
pub enum EnginesCommand {
    /// Lists engines.
    #[options(help = "list the engines that the asked daemon knows")]
    List(NoArguments),
}

/// `configuration`.
#[derive(Debug, Options)]
pub struct Configuration {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The command of this group.
    #[options(command, required)]
    pub command: Option<ConfigurationCommand>,
}

/// What to do with the configuration.
#[derive(Debug, Options)]
pub enum ConfigurationCommand {
    /// Shows a generation.
    #[options(help = "print a generation's document; its first line names the generation")]
    Show(ShowConfiguration),
    /// Applies a document.
    #[options(help = "make a document the next generation")]
    Apply(ApplyConfiguration),
    /// Compares a document with the generation in force.
    #[options(help = "compare a document with the generation in force")]
    Diff(FileArguments),
    /// Lists the changes.
    #[options(help = "list the changes, newest first")]
    History(ShowHistory),
    /// Follows the generations that come into force.
    #[options(help = "print each generation as it comes into force on the asked daemon")]
    Watch(WatchConfiguration),
}

/// `configuration show`.
#[derive(Debug, Options)]
pub struct ShowConfiguration {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The generation.
    #[options(help = "generation (default: the one in force)", meta = "NUMBER")]
    pub generation: u64,
}

/// `configuration apply`.
#[derive(Debug, Options)]
pub struct ApplyConfiguration {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The document.
    #[options(free, required, help = "the whole new document (TOML)")]
    pub file: String,
    /// The generation that the change was made from.
    #[options(
        help = "generation that the change was made from (default: the file's first line, as \
                written by show)",
        meta = "NUMBER"
    )]
    pub expected: Option<u64>,
    /// Who makes the change.
    #[options(help = "who makes the change (default: $USER)", meta = "NAME")]
    pub author: Option<String>,
    /// Identity of an earlier attempt at the change.
    #[options(
        no_short,
        help = "identity of an earlier try whose outcome is unknown (default: a new one)",
        meta = "IDENTITY"
    )]
    pub change: Option<String>,
}

/// `configuration history`.
#[derive(Debug, Options)]
pub struct ShowHistory {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Maximum number of entries.
    #[options(help = "at most so many, up to 65 (default: 20)", meta = "NUMBER")]
    pub limit: u32,
}

/// `configuration watch`.
#[derive(Debug, Options)]
pub struct WatchConfiguration {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Number of generations after which to end.
    #[options(help = "end after so many generations (default: never)", meta = "NUMBER")]
    pub count: u32,
}

/// A command on one file.
#[derive(Debug, Options)]
pub struct FileArguments {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The file.
    #[options(free, required, help = "the document (TOML)")]
    pub file: String,
}

/// A command without flags.
#[derive(Debug, Options)]
pub struct NoArguments {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
}
