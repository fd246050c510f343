// Package verbs implements the subcommands of the operators' command: it parses the
// command line, calls the administration API, prints the result and returns the exit
// code.
package verbs

import "time"

// Exit codes. Epilogue explains them.
const (
	exitOK          = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnknown     = 3
	exitUnreachable = 4
)

// arguments is the command line. Exactly one of the subcommands is set after parsing.
type arguments struct {
	API         string        `arg:"--api,env:TARRAGONVALVE_API" placeholder:"URL[,URL]" help:"administration ports of entries, tried in order"`
	Key         string        `arg:"--,env:TARRAGONVALVE_OPERATOR_KEY" help:"operator key"`
	KeyFile     string        `arg:"--key-file" placeholder:"FILE" help:"file with the operator key, instead of the environment variable"`
	CA          string        `arg:"--ca,env:TARRAGONVALVE_CA" placeholder:"FILE" help:"certificates that may sign the entries' certificates"`
	Unencrypted bool          `arg:"--unencrypted,env:TARRAGONVALVE_UNENCRYPTED" help:"allow http addresses"`
	Timeout     time.Duration `arg:"--timeout" default:"10s" help:"time for the whole operation, at most 1m"`
	JSON        bool          `arg:"--json" help:"print JSON instead of text"`

	Document *documentArgs     `arg:"subcommand:document" help:"print the document in force, or that of a generation"`
	Check    *checkArgs        `arg:"subcommand:check" help:"check a document or a routers' configuration without an entry"`
	Validate *documentFileArgs `arg:"subcommand:validate" help:"check a document at an entry; check needs none"`
	Diff     *documentFileArgs `arg:"subcommand:diff" help:"compare a document with the latest generation"`
	Trial    *documentFileArgs `arg:"subcommand:trial" help:"take recorded decisions again under a document and record its digest as tried"`
	Promote  *promoteArgs      `arg:"subcommand:promote" help:"make a tried document the next generation"`
	Wait     *waitArgs         `arg:"subcommand:wait" help:"wait until a generation is in force at all live instances"`
	History  *historyArgs      `arg:"subcommand:history" help:"list accepted generations"`
	Rollback *rollbackArgs     `arg:"subcommand:rollback" help:"accept the document of an earlier generation again"`
	Withdraw *withdrawArgs     `arg:"subcommand:withdraw" help:"make a generation in which a version gets no new work"`
	Halt     *haltArgs         `arg:"subcommand:halt" help:"stop new work on a version at once, without the table"`
	Status   *struct{}         `arg:"subcommand:status" help:"show instances, generations, halts and roll-outs"`
	Events   *eventsArgs       `arg:"subcommand:events" help:"show the merged time line of all processes"`
	Explain  *explainArgs      `arg:"subcommand:explain" help:"say what happened to a request"`
	Trace    *traceArgs        `arg:"subcommand:trace" help:"show the log lines that concern a request, from the routers' logs on standard input"`
	Bill     *billArgs         `arg:"subcommand:bill" help:"sum up what accounts are billed"`
}

// Description implements arg.Described; the help starts with it.
func (arguments) Description() string {
	return "Operates tarragonvalve through the administration API of its entries."
}

// Epilogue implements arg.Epilogued; the help ends with it.
func (arguments) Epilogue() string {
	return `Exit codes:
  0  ok
  1  refused
  2  usage or bad input, such as a document that is not valid
  3  unknown: the change may or may not have taken effect (see history), or
     a generation is not known to be in force everywhere
  4  unreachable: no entry could be reached, nothing was changed
check has its own: 0 no finding or differences alone, 1 findings, 2 can't run.

The operator key is read from the environment variable
TARRAGONVALVE_OPERATOR_KEY or from --key-file.`
}

type documentFileArgs struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"the document; - for standard input"`
}

type checkArgs struct {
	File    string `arg:"positional,required" placeholder:"FILE" help:"an environment document, or the routers' configuration as JSON; - for standard input"`
	Against string `arg:"--against" placeholder:"FILE|URL" help:"the version in force: a file, or the URL of an entry's administration port (documents) or of the store (routers)"`
	Output  string `arg:"--output" default:"text" placeholder:"text|json" help:"the form of the findings"`
}

type documentArgs struct {
	Generation uint64 `arg:"--generation" placeholder:"N" help:"print the document of this generation"`
}

type promoteArgs struct {
	documentFileArgs
	Digest         string `arg:"--digest,required" placeholder:"DIGEST" help:"the digest that trial printed"`
	ExpectedLatest uint64 `arg:"--seen,required" placeholder:"N" help:"the latest generation that you saw; 0 for none"`
	Reason         string `arg:"--reason,required" help:"why, for the history"`
}

type waitArgs struct {
	Generation uint64 `arg:"positional,required" placeholder:"GENERATION"`
}

type historyArgs struct {
	Limit int `arg:"--limit" default:"20" help:"at most this many generations"`
}

type rollbackArgs struct {
	Generation     uint64  `arg:"positional,required" placeholder:"GENERATION" help:"the generation whose document is accepted again"`
	ExpectedLatest *uint64 `arg:"--seen" placeholder:"N" help:"the latest generation that you saw; read from the API when left out"`
	Reason         string  `arg:"--reason,required" help:"why, for the history"`
}

type withdrawArgs struct {
	Version        string  `arg:"positional,required" placeholder:"MODEL@VERSION"`
	ExpectedLatest *uint64 `arg:"--seen" placeholder:"N" help:"the latest generation that you saw; read from the API when left out"`
	Reason         string  `arg:"--reason,required" help:"why, for the history"`
}

type haltArgs struct {
	Version string `arg:"positional,required" placeholder:"MODEL@VERSION"`
	Reason  string `arg:"--reason,required" help:"why, for the event"`
}

type eventsArgs struct {
	Request string `arg:"--request" placeholder:"ID" help:"only events of this request"`
	Session string `arg:"--session" placeholder:"ID" help:"only events of this session"`
	Account string `arg:"--account" placeholder:"ID" help:"only events of this client account"`
	Version string `arg:"--version" placeholder:"MODEL@VERSION" help:"only events of this version"`
	Since   string `arg:"--since" placeholder:"TIME" help:"only events from this time (2026-01-31T12:00:00Z) or age (10m) on"`
	Limit   int    `arg:"--limit" default:"1000" help:"the newest events, at most this many"`
	HTML    string `arg:"--html" placeholder:"FILE" help:"write one HTML page with a lane per process"`
}

type explainArgs struct {
	Request string `arg:"positional,required" placeholder:"REQUEST"`
}

type traceArgs struct {
	Request string `arg:"positional,required" placeholder:"ID" help:"the id of the client's attempt"`
}

type billArgs struct {
	From    string `arg:"--from" placeholder:"TIME" help:"start (2026-01-31T12:00:00Z) or age (24h); the start of the month when left out"`
	To      string `arg:"--to" placeholder:"TIME" help:"end, not included; now when left out"`
	Account string `arg:"--account" placeholder:"ID" help:"only this client account"`
}
