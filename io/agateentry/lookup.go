package agateentry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"agategate/core/agateinventory"
)

const lifetime = 2 * time.Second

// lookup answers which entry hosts a caller should use.
type lookup struct {
	e *Entry
}

func newLookup(e *Entry) *lookup { return &lookup{e: e} }

func (l *lookup) longest() time.Duration { return lifetime }

func (e *Entry) configuredLookup(*agateinventory.Inventory) {}

type wireHost struct {
	Host   string `json:"host"`
	Region string `json:"region"`
	Domain string `json:"domain"`
	Caller string `json:"caller"`
}

type wireLookup struct {
	Hosts []wireHost `json:"hosts"`
}

func (e *Entry) handleLookup(c echo.Context) error {
	inv := e.inventory.Load()
	if inv.Service(c.QueryParam("service")) == nil {
		return c.JSON(http.StatusNotFound, wireError{Error: "look-up: no such service"})
	}
	var out wireLookup
	for _, h := range inv.Hosts {
		row, ok := e.directory.get(h.Name)
		if (h.Name == e.cfg.Settings.Name && e.draining.Load()) || (ok && row.draining) {
			continue
		}
		out.Hosts = append(out.Hosts, wireHost{Host: h.Name, Region: h.Region, Domain: h.Domain, Caller: h.Caller.String()})
	}
	c.Response().Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(lifetime.Seconds())))
	return c.JSON(http.StatusOK, out)
}
