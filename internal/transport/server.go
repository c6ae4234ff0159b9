package transport

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
)

// How long requests of users and agents may be in progress: they give up after 5 s and 4 s.
const (
	requestTimeout   = 3500 * time.Millisecond
	heartbeatTimeout = 2 * time.Second
)

// maxStepAge is how long the driver's loop may take to go round before the process counts as not ready.
const maxStepAge = 2 * micros.Second

// maxHeartbeatBytes bounds an agent's heartbeat; it has no limit of its own in the protocol but that of
// all bodies.
const maxHeartbeatBytes = protocol.MaxBodyBytes

// routes maps paths to handlers.
func (d *driver) routes(listener *boundedListener) http.Handler {
	limit := newRequestLimit(uint(d.cfg.Operator.MaxInProgress))
	r := chi.NewRouter()
	r.Get("/up", d.serveHealth)
	r.Post("/v1/report", d.serveHeartbeat)
	r.Route("/submissions", func(r chi.Router) {
		r.Use(listener.closeUserConnections)
		r.Post("/", limit.guard(d.submit, d.reportShed))
		r.Get("/{id}", limit.guard(d.lookup, func() {}))
		r.Post("/{id}/abort", d.abort)
	})
	return r
}

// reportShed lets the core know that a submission was refused unread. One that finds the queue of inputs
// full does not matter: then there are many.
func (d *driver) reportShed() {
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

func (d *driver) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !d.healthy.Load() || d.steady()-d.stepped.Load() > maxStepAge {
		refuse(w, http.StatusServiceUnavailable, "not ready", micros.Second)
		return
	}
	write(w, http.StatusOK, []byte("{}"))
}

// readBody reads a request's body and answers if that fails.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err == nil {
		return body, true
	}
	why := "body cannot be read"
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		why = "body too large"
	}
	write(w, http.StatusBadRequest, protocol.EncodeError(why))
	return nil, false
}

// serveUser asks the core and writes its response to a user.
func (d *driver) serveUser(w http.ResponseWriter, r *http.Request, input func(messages.RequestID) messages.Input) {
	response, ok := d.request(r.Context(), requestTimeout, input)
	if !ok {
		refuse(w, http.StatusServiceUnavailable, "no answer in time", micros.Second)
		return
	}
	switch response.Kind {
	case messages.JobAccepted:
		write(w, http.StatusCreated, protocol.EncodeJobStatus(response.Job))
	case messages.JobFound:
		write(w, http.StatusOK, protocol.EncodeJobStatus(response.Job))
	case messages.RequestMalformed:
		write(w, http.StatusBadRequest, protocol.EncodeError(response.Reason))
	case messages.JobUnschedulable:
		write(w, http.StatusUnprocessableEntity, protocol.EncodeError(response.Reason))
	case messages.JobNotFound:
		write(w, http.StatusNotFound, protocol.EncodeError("no such job"))
	case messages.Overloaded:
		refuse(w, http.StatusTooManyRequests, response.Reason, response.RetryAfter)
	case messages.ServiceUnavailable, messages.HeartbeatAcknowledged, messages.HeartbeatRedirected:
		fallthrough // the last two are for agents, and don't come here
	default:
		refuse(w, http.StatusServiceUnavailable, response.Reason, response.RetryAfter)
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
	id := chi.URLParam(r, "id")
	if !protocol.ValidJobID(id) {
		write(w, http.StatusNotFound, protocol.EncodeError("no such job"))
		return
	}
	d.serveUser(w, r, func(request messages.RequestID) messages.Input {
		return &messages.Lookup{Request: request, ID: id}
	})
}

func (d *driver) abort(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if !protocol.ValidJobID(id) {
		write(w, http.StatusNotFound, protocol.EncodeError("no such job"))
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
		write(w, http.StatusBadRequest, protocol.EncodeError(err.Error()))
		return
	}
	response, ok := d.request(r.Context(), heartbeatTimeout, func(request messages.RequestID) messages.Input {
		return &messages.HeartbeatRequest{Request: request, Heartbeat: heartbeat}
	})
	switch {
	case ok && response.Kind == messages.HeartbeatAcknowledged:
		write(w, http.StatusOK, protocol.EncodeHeartbeatReply(response.FencingToken, response.Commands))
	case ok && response.Kind == messages.HeartbeatRedirected:
		write(w, http.StatusMisdirectedRequest, protocol.EncodeRedirect(response.RedirectTo))
	default:
		refuse(w, http.StatusServiceUnavailable, "cannot answer reports now", micros.Second)
	}
}
