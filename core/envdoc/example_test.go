package envdoc_test

import (
	"fmt"

	"tarragonvalve.example/core/envdoc"
)

func ExampleParse() {
	text := `
[environment]
name = demo

[account denizli]
# SHA-256 of key-denizli
key-digests = 71804e2875c4a1b691e1002d38d3e723f2d3b4c26fd3346db2b943a196c21fe8
allowed = pamuk@1.4, pamuk@1.5
services = orders
requests-per-second = 20
tokens-per-second = 5000
weight = 2
priority = 0
objective = cost
quality-target = 0.85
on-withdrawn = move

[model pamuk]
shares = 1.4:100

[version pamuk@1.4]
state = live
input-price-micro-cents = 60
output-price-micro-cents = 300
quality-prior = 0.86

[version pamuk@1.5]
input-price-micro-cents = 60
output-price-micro-cents = 300
quality-prior = 0.87
fallback = pamuk@1.4
halts-cleared-at = 0
cancel-running = no

[rollout pamuk-1-5]
model = pamuk
from = 1.4
to = 1.5
steps = 0.5, 5, 25, 100
step-time = 10m
exposure-bound = 200
min-samples = 100
false-alarm-rate = 0.01

[service orders]
calls = POST /runs not-repeatable, GET /runs repeatable hedge
price-micro-cents = 20000

[upstream-kind fenced-engine]
checks-fencing = yes

[end]
`
	d, err := envdoc.Parse([]byte(text))
	if err != nil {
		fmt.Println(err)
		return
	}
	a, _ := d.AccountByKey("key-denizli")
	fmt.Println(d.Name, a.ID, a.Objective, len(a.Allowed))
	// Output: demo denizli cost 2
}
