package transport

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"pipitlatch/internal/coordination/messages"

	"github.com/failsafe-go/failsafe-go/adaptivelimiter"
	"github.com/go-chi/chi/v5"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
)

// requestTimeout is how long a request may be in progress: users and workers give up
// after 5 s and 4 s.
const requestTimeout = 3500 * time.Millisecond

// requestLimit limits users' requests in progress; the limit adjusts itself to how
// long they take. What is above it is refused at once, never queued. Reports,
// probes and cancellations are not subject to it.
type requestLimit struct {
	limiter adaptivelimiter.AdaptiveLimiter[any]
}

func newRequestLimit(most uint) *requestLimit {
	// The least is what users ask for all at once after an outage; below it the
	// limit would refuse them for nothing.
	least := max(most/4, min(most, 16))
	return &requestLimit{adaptivelimiter.NewBuilder[any]().WithLimits(least, most, max(least, most/2)).
		WithMaxLimitFactor(16).Build()}
}

// guard subjects a handler to the limit; refused is called for every request above it.
func (a *requestLimit) guard(next http.HandlerFunc, refused func()) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		permit, ok := a.limiter.TryAcquirePermit()
		if !ok {
			refused()
			refuse(w, http.StatusTooManyRequests, "too many requests", micros.Second)
			return
		}
		defer permit.Record()
		next(w, r)
	}
}

func (d *Driver) routes(l *boundedListener) http.Handler {
	limit := newRequestLimit(uint(d.cfg.Operator.MaxInProgress))
	r := chi.NewRouter()
	r.Get("/up", d.serveHealth)
	r.Post("/v1/report", d.serveHeartbeat)
	r.Route("/submissions", func(r chi.Router) {
		r.Use(l.closeUserConnections)
		r.Post("/", limit.guard(d.submit, d.reportShed))
		r.Get("/{id}", limit.guard(d.lookup, func() {}))
		r.Post("/{id}/abort", d.abort)
	})
	return r
}

// reportShed tells the core that a submission was refused unread. One that finds no room does not
// matter: then there are many.
func (d *Driver) reportShed() {
	select {
	case d.inputs <- &messages.LoadShed{}:
	default:
	}
}

func write(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // the client may be gone; there is nobody to tell
}

func refuse(w http.ResponseWriter, status int, why string, after micros.Time) {
	w.Header().Set("Retry-After", strconv.FormatInt((after+micros.Second-1)/micros.Second, 10))
	write(w, status, protocol.EncodeError(why))
}

func (d *Driver) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !d.healthy.Load() || d.steady()-d.stepped.Load() > 2*micros.Second {
		refuse(w, http.StatusServiceUnavailable, "not ready", micros.Second)
		return
	}
	write(w, http.StatusOK, []byte("{}"))
}

// body reads a request's body and answers if that fails.
func body(w http.ResponseWriter, r *http.Request, most int64) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err == nil {
		return b, true
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		write(w, http.StatusBadRequest, protocol.EncodeError("body too large"))
	} else {
		write(w, http.StatusBadRequest, protocol.EncodeError("body cannot be read"))
	}
	return nil, false
}

// serveUser asks the core and writes its answer to a user.
func (d *Driver) serveUser(w http.ResponseWriter, r *http.Request, input func(messages.RequestID) messages.Input) {
	a, ok := d.request(r.Context(), requestTimeout, input)
	if !ok {
		refuse(w, http.StatusServiceUnavailable, "no answer in time", micros.Second)
		return
	}
	switch a.Kind {
	case messages.JobAccepted:
		write(w, http.StatusCreated, protocol.EncodeJobStatus(a.Job))
	case messages.JobFound:
		write(w, http.StatusOK, protocol.EncodeJobStatus(a.Job))
	case messages.RequestMalformed:
		write(w, http.StatusBadRequest, protocol.EncodeError(a.Text))
	case messages.JobUnschedulable:
		write(w, http.StatusUnprocessableEntity, protocol.EncodeError(a.Text))
	case messages.JobNotFound:
		write(w, http.StatusNotFound, protocol.EncodeError("no such job"))
	case messages.Overloaded:
		refuse(w, http.StatusTooManyRequests, a.Text, a.RetryAfter)
	default:
		refuse(w, http.StatusServiceUnavailable, a.Text, a.RetryAfter)
	}
}

func (d *Driver) submit(w http.ResponseWriter, r *http.Request) {
	b, ok := body(w, r, protocol.MaxBody)
	if !ok {
		return
	}
	id, job, err := protocol.ParseSubmission(b)
	fault := ""
	if err != nil {
		fault, job = err.Error(), nil
	}
	d.serveUser(w, r, func(req messages.RequestID) messages.Input {
		return &messages.Submit{Request: req, ID: id, Job: job, Fault: fault}
	})
}

func (d *Driver) lookup(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if !protocol.ValidJobID(id) {
		write(w, http.StatusNotFound, protocol.EncodeError("no such job"))
		return
	}
	d.serveUser(w, r, func(req messages.RequestID) messages.Input {
		return &messages.Lookup{Request: req, ID: id}
	})
}

func (d *Driver) abort(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if !protocol.ValidJobID(id) {
		write(w, http.StatusNotFound, protocol.EncodeError("no such job"))
		return
	}
	d.serveUser(w, r, func(req messages.RequestID) messages.Input {
		return &messages.Cancel{Request: req, ID: id}
	})
}

// maxHeartbeatBytes bounds a worker's report; it has no limit of its own in the
// protocol but that of all bodies.
const maxHeartbeatBytes = protocol.MaxBody

func (d *Driver) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	b, ok := body(w, r, maxHeartbeatBytes)
	if !ok {
		return
	}
	rep, err := protocol.ParseHeartbeat(b)
	if err != nil {
		d.badReports.Do(func() { d.log.Warn("malformed heartbeat", "err", err, "remote", r.RemoteAddr) })
		write(w, http.StatusBadRequest, protocol.EncodeError(err.Error()))
		return
	}
	a, ok := d.request(r.Context(), 2*time.Second, func(req messages.RequestID) messages.Input {
		return &messages.HeartbeatRequest{Request: req, Heartbeat: rep}
	})
	switch {
	case ok && a.Kind == messages.HeartbeatAcknowledged:
		write(w, http.StatusOK, protocol.EncodeHeartbeatReply(a.FencingToken, a.Commands))
	case ok && a.Kind == messages.HeartbeatRedirected:
		write(w, http.StatusMisdirectedRequest, protocol.EncodeRedirect(a.RedirectTo))
	default:
		refuse(w, http.StatusServiceUnavailable, "cannot answer reports now", micros.Second)
	}
}
