package panics_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/test/bufconn"

	"tarragonvalve.example/core/panics"
)

// logBuffer is a log that may be read while it is written.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Guards against a panic that ends a connection without an answer, a log line or a count, against a cut
// answer that looks complete, and against a stack in each line.
func TestHandler(t *testing.T) {
	for name, c := range map[string]struct {
		before string
		status int
	}{
		"before the answer": {"", http.StatusInternalServerError},
		"in the answer":     {"part", 0},
	} {
		t.Run(name, func(t *testing.T) {
			var l logBuffer
			r := panics.New(zerolog.New(&l))
			v := httptest.NewServer(r.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.before != "" {
					_, _ = io.WriteString(w, c.before)
					_ = http.NewResponseController(w).Flush()
				}
				panic("broken")
			})))
			defer v.Close()
			for range 2 {
				p, err := http.Get(v.URL + "/x")
				if err != nil {
					t.Fatal(err)
				}
				_, err = io.ReadAll(p.Body)
				p.Body.Close()
				if c.status == 0 && err == nil || c.status != 0 && p.StatusCode != c.status {
					t.Errorf("status %d, error %v", p.StatusCode, err)
				}
			}
			s := l.String()
			if r.Count() != 2 || strings.Count(s, `"error":"broken"`) != 2 || strings.Count(s, `"path":"/x"`) != 2 {
				t.Errorf("%d panics counted, log:\n%s", r.Count(), s)
			}
			if strings.Count(s, `"stack":`) != 1 || strings.Count(s, `"place":"tarragonvalve.example/core/panics_test.TestHandler`) != 2 {
				t.Errorf("not one stack, or another place:\n%s", s)
			}
		})
	}
}

// panickingService panics in each of its methods.
type panickingService struct {
	grpc_health_v1.UnimplementedHealthServer
}

func (panickingService) Check(context.Context, *grpc_health_v1.HealthCheckRequest) (*grpc_health_v1.HealthCheckResponse, error) {
	panic("broken")
}

func (panickingService) Watch(*grpc_health_v1.HealthCheckRequest, grpc_health_v1.Health_WatchServer) error {
	panic("broken")
}

// Guards against a panic in one gRPC call that ends the process with the work of all others, and against
// a status that says whether the call had an effect.
func TestServerOptions(t *testing.T) {
	var l logBuffer
	r := panics.New(zerolog.New(&l))
	g := grpc.NewServer(r.ServerOptions()...)
	grpc_health_v1.RegisterHealthServer(g, panickingService{})
	n := bufconn.Listen(1 << 16)
	go func() { _ = g.Serve(n) }()
	defer g.Stop()
	c, err := grpc.NewClient("passthrough:x", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return n.DialContext(ctx) }))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	h := grpc_health_v1.NewHealthClient(c)
	if _, err := h.Check(t.Context(), &grpc_health_v1.HealthCheckRequest{}); status.Code(err) != codes.Internal {
		t.Errorf("the call returned %v", err)
	}
	w, err := h.Watch(t.Context(), &grpc_health_v1.HealthCheckRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Recv(); status.Code(err) != codes.Internal {
		t.Errorf("the stream returned %v", err)
	}
	if s := l.String(); r.Count() != 2 || !strings.Contains(s, "Health/Check") || !strings.Contains(s, "Health/Watch") || strings.Count(s, `"stack":`) != 2 {
		t.Errorf("%d panics counted, log:\n%s", r.Count(), s)
	}
}
