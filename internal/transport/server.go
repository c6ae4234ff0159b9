package transport

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
)

// Time limits for requests of users and agents, whose own timeouts are 5 s and 4 s.
const (
	requestTimeout   = 3500 * time.Millisecond
	heartbeatTimeout = 2 * time.Second
)

// maxStepAge is the age of the driver's last step beyond which the process counts as not ready.
const maxStepAge = 2 * micros.Second

// maxHeartbeatBytes limits the size of a heartbeat. The protocol has no specific limit for heartbeats, so the
// one for all request bodies applies.
const maxHeartbeatBytes = protocol.MaxBodyBytes

// routes maps paths to handlers.
func (d *driver) routes(listener *boundedListener) http.Handler {
	limit := newRequestLimit(uint(d.cfg.Operator.MaxInProgress))
	r := chi.NewRouter()
	r.Get("/up", d.serveHealth)
	r.Method(http.MethodGet, "/metrics", promhttp.HandlerFor(newMetricsRegistry(d), promhttp.HandlerOpts{}))
	r.Post("/v1/report", d.serveHeartbeat)
	r.Route("/submissions", func(r chi.Router) {
		r.Use(listener.closeUserConnections)
		r.Post("/", limit.guard(d.submit, d.notifyLoadShed))
		r.Get("/{id}", limit.guard(d.lookup, func() {}))
		r.Post("/{id}/abort", d.abort)
	})
	return r
}

// notifyLoadShed tells the core that a submission was rejected unread. A notification is dropped if the
// input queue is full; it then is one of many.
func (d *driver) notifyLoadShed() {
	select {
	case d.inputs <- &messages.LoadShed{}:
	default:
	}
}

func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails if the client has disconnected; the error cannot be reported to it
}

func writeRetryable(w http.ResponseWriter, status int, reason string, after micros.Time) {
	w.Header().Set("Retry-After", strconv.FormatInt((after+micros.Second-1)/micros.Second, 10))
	writeJSON(w, status, protocol.EncodeError(reason))
}

func (d *driver) serveHealth(w http.ResponseWriter, r *http.Request) {
	requestReceived(r)
	if !d.healthy.Load() || d.monotonicNow()-d.lastStep.Load() > maxStepAge {
		writeRetryable(w, http.StatusServiceUnavailable, "not ready", micros.Second)
		return
	}
	writeJSON(w, http.StatusOK, []byte("{}"))
}

// readBody reads a request's body. If that fails it writes a 400 response and returns false.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err == nil {
		requestReceived(r)
		return body, true
	}
	reason := "body cannot be read"
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		reason = "body too large"
	}
	writeJSON(w, http.StatusBadRequest, protocol.EncodeError(reason))
	return nil, false
}

// serveUser passes a user's request to the core and writes the response.
func (d *driver) serveUser(w http.ResponseWriter, r *http.Request, input func(messages.RequestID) messages.Input) {
	response, ok := d.request(r.Context(), requestTimeout, input)
	if !ok {
		writeRetryable(w, http.StatusServiceUnavailable, "no answer in time", micros.Second)
		return
	}
	switch response.Kind {
	case messages.JobAccepted:
		writeJSON(w, http.StatusCreated, protocol.EncodeJobStatus(response.Job))
	case messages.JobFound:
		writeJSON(w, http.StatusOK, protocol.EncodeJobStatus(response.Job))
	case messages.RequestMalformed:
		writeJSON(w, http.StatusBadRequest, protocol.EncodeError(response.Reason))
	case messages.JobUnschedulable:
		writeJSON(w, http.StatusUnprocessableEntity, protocol.EncodeError(response.Reason))
	case messages.JobNotFound:
		writeJSON(w, http.StatusNotFound, protocol.EncodeError("no such job"))
	case messages.Overloaded:
		writeRetryable(w, http.StatusTooManyRequests, response.Reason, response.RetryAfter)
	case messages.ServiceUnavailable, messages.HeartbeatAcknowledged, messages.HeartbeatRedirected:
		fallthrough // the last two are responses to agents and do not occur here
	default:
		writeRetryable(w, http.StatusServiceUnavailable, response.Reason, response.RetryAfter)
	}
}

func (d *driver) submit(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, protocol.MaxBodyBytes)
	if !ok {
		return
	}
	id, job, err := protocol.ParseSubmission(body)
	fault := ""
	if err != nil {
		fault, job = err.Error(), nil
	}
	d.serveUser(w, r, func(request messages.RequestID) messages.Input {
		return &messages.Submit{Request: request, ID: id, Job: job, Fault: fault}
	})
}

func (d *driver) lookup(w http.ResponseWriter, r *http.Request) {
	requestReceived(r)
	id := chi.URLParam(r, "id")
	if !protocol.ValidJobID(id) {
		writeJSON(w, http.StatusNotFound, protocol.EncodeError("no such job"))
		return
	}
	d.serveUser(w, r, func(request messages.RequestID) messages.Input {
		return &messages.Lookup{Request: request, ID: id}
	})
}

func (d *driver) abort(w http.ResponseWriter, r *http.Request) {
	requestReceived(r)
	id := chi.URLParam(r, "id")
	if !protocol.ValidJobID(id) {
		writeJSON(w, http.StatusNotFound, protocol.EncodeError("no such job"))
		return
	}
	d.serveUser(w, r, func(request messages.RequestID) messages.Input {
		return &messages.Cancel{Request: request, ID: id}
	})
}

func (d *driver) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxHeartbeatBytes)
	if !ok {
		return
	}
	heartbeat, err := protocol.ParseHeartbeat(body)
	if err != nil {
		d.malformedHeartbeats.Do(func() { d.log.Warn("malformed heartbeat", "err", err, "address", r.RemoteAddr) })
		writeJSON(w, http.StatusBadRequest, protocol.EncodeError(err.Error()))
		return
	}
	response, ok := d.request(r.Context(), heartbeatTimeout, func(request messages.RequestID) messages.Input {
		return &messages.HeartbeatRequest{Request: request, Heartbeat: heartbeat}
	})
	switch {
	case ok && response.Kind == messages.HeartbeatAcknowledged:
		writeJSON(w, http.StatusOK, protocol.EncodeHeartbeatReply(response.FencingToken, response.Commands))
	case ok && response.Kind == messages.HeartbeatRedirected:
		writeJSON(w, http.StatusMisdirectedRequest, protocol.EncodeRedirect(response.RedirectTo))
	default:
		writeRetryable(w, http.StatusServiceUnavailable, "cannot answer reports now", micros.Second)
	}
}
