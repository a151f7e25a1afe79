package parser

// Fields holds the rule of each field of the settings file, in the order of
// docs/settings.md. A new setting needs its field in Settings, its rule here
// and its row there; tests fail if one is missing.
var Fields = []Field{
	{Place: "/role", Kind: KindChoice, Required: true, Choices: []string{"entry", "agent", "control"}, Doc: "What the process does; the block of the same name must be there."},
	{Place: "/name", Kind: KindName, Required: true, Doc: "Name of the process, unique in the whole system; an agent's is its backend server's."},
	{Place: "/failureDomain", Kind: KindName, Required: true, Doc: "Failure domain of the host."},
	{Place: "/region", Kind: KindName, Required: true, Doc: "Region of the host."},
	{Place: "/logLevel", Kind: KindChoice, Default: `"info"`, Choices: []string{"debug", "info", "warn", "error"}, Doc: "Least severe level of events that are logged."},
	{Place: "/metricsListen", Kind: KindListen, Doc: "IP number and port for `/metrics`; without it, none is served."},

	{Place: "/entry", Kind: KindObject, Doc: "Settings of an entry."},
	{Place: "/entry/listen", Kind: KindListen, Required: true, Doc: "IP number and port for callers' HTTP."},
	{Place: "/entry/peerListen", Kind: KindAddress, Required: true, Doc: "IP number and port at which other processes reach the entry."},
	{Place: "/entry/control", Kind: KindList, Required: true, Min: "1", Max: "7", Doc: "Control hosts."},
	{Place: "/entry/control/*", Kind: KindAddress, Doc: "IP number and port of a control host's `listen`."},
	{Place: "/entry/maxBodyBytes", Kind: KindInteger, Unit: "bytes", Default: "4194304", Min: "1024", Max: "67108864", Doc: "Largest body of a request; a larger one is refused with 413."},
	{Place: "/entry/requestTimeout", Kind: KindDuration, Default: `"30s"`, Min: "100ms", Max: "10m", Doc: "How long a request may wait until a backend server takes it."},
	{Place: "/entry/stallTimeout", Kind: KindDuration, Default: `"1.8s"`, Min: "1s", Max: "1m", Doc: "Silence after which a link to an agent is stalled; agents report every 500 ms."},
	{Place: "/entry/resumeTimeout", Kind: KindDuration, Default: `"20s"`, Min: "1s", Max: "10m", Doc: "How long to look for a backend server that goes on with a generation."},
	{Place: "/entry/stopNotice", Kind: KindDuration, Default: `"0s"`, Min: "0s", Max: "5m", Doc: "How long `/healthz` fails before a planned stop closes the listener, so that the balancer sends no more callers."},

	{Place: "/agent", Kind: KindObject, Doc: "Settings of an agent."},
	{Place: "/agent/listen", Kind: KindAddress, Required: true, Doc: "IP number and port at which entries and control hosts reach the agent."},
	{Place: "/agent/announceListen", Kind: KindListen, Required: true, Doc: "IP number and port at which the backend server announces itself."},
	{Place: "/agent/control", Kind: KindList, Required: true, Min: "1", Max: "7", Doc: "Control hosts."},
	{Place: "/agent/control/*", Kind: KindAddress, Doc: "IP number and port of a control host's `listen`."},
	{Place: "/agent/resumeGrace", Kind: KindDuration, Default: `"30s"`, Min: "1s", Max: "1h", Doc: "How long a generation goes on without a reader."},
	{Place: "/agent/keepEnded", Kind: KindDuration, Default: `"1m"`, Min: "1s", Max: "1h", Doc: "How long an ended generation waits for its caller."},

	{Place: "/control", Kind: KindObject, Doc: "Settings of a control host."},
	{Place: "/control/listen", Kind: KindAddress, Required: true, Doc: "IP number and port at which other processes reach the control host."},
	{Place: "/control/operatorListen", Kind: KindListen, Required: true, Doc: "IP number and port for operators' HTTP."},
	{Place: "/control/dataFolder", Kind: KindText, Required: true, Min: "1", Max: "4096", Unit: "bytes", Doc: "Folder that holds all files of the process; only one process may use it."},
	{Place: "/control/operatorKeySHA256", Kind: KindHash, Required: true, Doc: "Hash of the operators' key."},
	{Place: "/control/peers", Kind: KindList, Required: true, Min: "1", Max: "7", Doc: "All control hosts at first start, this one included."},
	{Place: "/control/peers/*", Kind: KindObject, Doc: "One control host."},
	{Place: "/control/peers/*/name", Kind: KindName, Required: true, Doc: "Name of the control host."},
	{Place: "/control/peers/*/address", Kind: KindAddress, Required: true, Doc: "IP number and port of its `listen`."},
}
