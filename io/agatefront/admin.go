package agatefront

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"agategate/io/agatelog"
)

// wireDecisions is the body of GET /v1/explain/REQUEST, and wireError that of
// an error response.
type wireDecisions struct {
	Decisions []agatelog.Decision `json:"decisions"`
}

type wireError struct {
	Error string `json:"error"`
}

// wireHealth is the body of GET /healthz.
type wireHealth struct {
	Host     string `json:"host"`
	Ready    bool   `json:"ready"`
	Revision uint64 `json:"revision"`
}

// Handler returns the admin interface for operators and tools: GET /metrics,
// GET /v1/explain/REQUEST and GET /healthz.
func (f *Front) Handler() http.Handler {
	e := echo.New()
	e.GET("/metrics", echo.WrapHandler(f.metrics.set))
	e.GET("/v1/explain/:request", func(c echo.Context) error {
		list := f.cfg.Log.Explain(c.Param("request"))
		if len(list) == 0 {
			return c.JSON(http.StatusNotFound, wireError{Error: "the host keeps no decision on this request"})
		}
		return c.JSON(http.StatusOK, wireDecisions{Decisions: list})
	})
	e.GET("/healthz", func(c echo.Context) error {
		h := wireHealth{Host: f.cfg.Name, Ready: f.Ready(), Revision: f.control.revision()}
		if !h.Ready {
			return c.JSON(http.StatusServiceUnavailable, h)
		}
		return c.JSON(http.StatusOK, h)
	})
	return e
}
