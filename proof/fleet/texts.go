package fleet

import (
	"fmt"
	"strings"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/standin/setup"
)

// The versions of the test environment. Answers of deep are long enough that a fault can be
// injected in mid-stream; answers of quick are short.
var (
	Deep1  = ident.VersionRef{Model: "deep", Version: "1"}
	Deep2  = ident.VersionRef{Model: "deep", Version: "2"}
	Quick1 = ident.VersionRef{Model: "quick", Version: "1"}
)

// Versions are the settings of the versions on the stand-in engines.
var Versions = map[ident.VersionRef]setup.Version{
	Deep1:  {Quality: 0.95, MeanTokens: 300, Slowness: 1},
	Deep2:  {Quality: 0.95, MeanTokens: 300, Slowness: 1},
	Quick1: {Quality: 0.8, MeanTokens: 16, Slowness: 1},
}

// The accounts of the test environment; the key of account A is key-A.
const (
	// Alpha may use all versions and services.
	Alpha = "alpha"
	// Beta may use quick@1 and the stock service only.
	Beta = "beta"
	// Gamma may use all versions and the orders service. When the version of its session is
	// withdrawn, its requests are refused, not moved to another version.
	Gamma = "gamma"
)

const operatorKey = "key-operator"

const documentText = `[environment]
name = proof

[account alpha]
key-digests = %s
allowed = deep@1, deep@2, quick@1
services = orders, stock
weight = 4
objective = latency
quality-target = 0.5
on-withdrawn = move

[account beta]
key-digests = %s
allowed = quick@1
services = stock
weight = 1
objective = latency
quality-target = 0.5
on-withdrawn = move

[account gamma]
key-digests = %s
allowed = deep@1, deep@2, quick@1
services = orders
weight = 1
objective = latency
quality-target = 0.5
on-withdrawn = refuse

[model deep]
shares = 1:50, 2:50

[version deep@1]
input-price-micro-cents = 10
output-price-micro-cents = 100
quality-prior = 0.95
fallback = deep@2

[version deep@2]
input-price-micro-cents = 10
output-price-micro-cents = 100
quality-prior = 0.95
fallback = quick@1

[model quick]
shares = 1:100

[version quick@1]
input-price-micro-cents = 1
output-price-micro-cents = 10
quality-prior = 0.8

[service orders]
calls = POST /runs not-repeatable, GET /runs repeatable
price-micro-cents = 1000

[service stock]
calls = GET /caps repeatable hedge
price-micro-cents = 10

[upstream-kind engine]
checks-fencing = yes

[end]
`

// Document returns the environment document of the tests. The remark is a comment at its head:
// it makes documents with the same meaning differ.
func Document(remark string) string {
	d := fmt.Sprintf(documentText, envdoc.KeyDigestOf("key-"+Alpha), envdoc.KeyDigestOf("key-"+Beta), envdoc.KeyDigestOf("key-"+Gamma))
	return "# " + remark + "\n" + d
}

func (o *Options) standinSettings() string {
	var b strings.Builder
	b.WriteString("[instances]\nlag = 200ms\n\n")
	fmt.Fprintf(&b, "[table]\nwrites-per-second = 400\nreads-per-second = 2000\n\n")
	for r, v := range Versions {
		fmt.Fprintf(&b, "[version %s]\nquality = %g\nmean-tokens = %d\nslowness = %g\n\n", r, v.Quality, v.MeanTokens, v.Slowness)
	}
	for i := range o.Engines {
		fmt.Fprintf(&b, "[engine %s]\nversions = %s, %s, %s\nslots = %d\ntoken-time = 6ms\ngrace = 20s\nkeep = 60s\n\n", engineID(i), Deep1, Deep2, Quick1, o.Slots)
	}
	b.WriteString("[plain orders-1]\nservice = orders\ntime = 200ms\n\n[plain orders-2]\nservice = orders\ntime = 200ms\n\n")
	b.WriteString("[plain stock-1]\nservice = stock\ntime = 5ms\n")
	return b.String()
}

func engineID(i int) ident.UpstreamID {
	return ident.UpstreamID(fmt.Sprintf("engine-%d", i+1))
}

func commonSettings(addr string) string {
	return fmt.Sprintf("[table]\nendpoint = http://%s\nname = tarragonvalve\naccess-key = test\nsecret-key = test\n\n[control]\nenvironment = proof\npoll-interval = 1s\n\n[tls]\nallow-plaintext = yes\n\n", addr)
}

func (f *Fleet) entrySettings(i int, table string) string {
	return commonSettings(table) + fmt.Sprintf(`[entry]
instance = entry-%d
domain = d1
drain-notice = 500ms
drain-limit = %s

[sessions]
keys = k1:0123456789abcdef0123456789abcdef

[instances]
url = http://%s
interval = 300ms

[receipts]
interval = 500ms

[rating]
url = http://%s

[admin]
operators = tester:operate:%s
`, i+1, f.o.drainLimit(), f.Addr.Instances, f.Addr.Rating, envdoc.KeyDigestOf(operatorKey))
}

func (f *Fleet) agentSettings(id ident.UpstreamID, service ident.ServiceID, target, table string) string {
	up := fmt.Sprintf("engine-url = http://%s\nkind = engine\nslots = %d\n", target, f.o.Slots)
	if service != "" {
		up = fmt.Sprintf("service-url = http://%s\nservice = %s\n", target, service)
	}
	return commonSettings(table) + fmt.Sprintf(`[agent]
drain-limit = %s

[receipts]
interval = 500ms
hold = 3s

[upstream]
id = %s
domain = d1
%s`, f.o.drainLimit(), id, up)
}
