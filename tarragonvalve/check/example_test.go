package check_test

import (
	"fmt"

	"tarragonvalve.example/tarragonvalve/check"
)

func ExampleRun() {
	const text = `
[environment]
name = demo

[account denizli]
# SHA-256 of key-denizli
key-digests = 71804e2875c4a1b691e1002d38d3e723f2d3b4c26fd3346db2b943a196c21fe8
services = orders

[service orders]
calls = GET /runs repeatable

[service stock]
calls = GET /caps repeatable

[end]
`
	e, err := check.ParseEnvironment("demo.ini", []byte(text))
	if err != nil {
		fmt.Println(err)
		return
	}
	r, err := check.Run(e, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, f := range r.Findings {
		fmt.Println(f)
	}
	fmt.Println("failed:", r.Failed())
	// Output:
	// demo.ini:13: warning: no account may call service stock, so each call is refused [unused-service]
	// failed: true
}
