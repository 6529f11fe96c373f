package operator

import (
	"html/template"
	"net/http"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/incident"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// maxPageEntries limits the incidents and the revisions on the status page.
const maxPageEntries = 20

// pageData is the input of pageTemplate.
type pageData struct {
	At        time.Time
	Ready     bool
	Reason    string
	View      *control.View
	History   []wire.Revision
	Incidents []incident.Explanation
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"clock": func(ms int) string { return time.UnixMilli(int64(ms)).UTC().Format("2006-01-02 15:04:05") },
	"share": func(used, all int) int {
		if all == 0 {
			return 0
		}
		return 100 * used / all
	},
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>pimentohinge</title><meta http-equiv="refresh" content="5">
<style>
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 70rem; padding: 0 1rem; color: #222; }
h1 { font-size: 1.4rem; } h2 { font-size: 1.1rem; margin-top: 2rem; }
table { border-collapse: collapse; width: 100%; } th, td { text-align: left; padding: .25rem .6rem; border-bottom: 1px solid #ddd; }
th { font-weight: 600; } td.n { text-align: right; font-variant-numeric: tabular-nums; }
.bad { color: #a11; } .good { color: #161; } li { margin: .5rem 0; }
</style></head><body>
<h1>pimentohinge</h1>
<p>{{.At.UTC.Format "2006-01-02 15:04:05"}} UTC.
{{if .Ready}}<span class="good">Ready.</span>{{else}}<span class="bad">Not ready: {{.Reason}}.</span>{{end}}
Revision {{.View.Revision}} in force. {{.View.Open}} requests open, {{.View.Queued}} waiting.</p>
<h2>Entry VMs</h2>
<table><tr><th>VM</th><th>region</th><th>data centre</th><th>state</th><th>revision</th></tr>
{{range .View.Members}}<tr><td>{{.Vm.Name}}</td><td>{{.Vm.Region}}</td><td>{{.Vm.DataCentre}}</td>
<td class="{{if eq .State "alive"}}good{{else}}bad{{end}}">{{.State}}</td><td class="n">{{.Revision}}</td></tr>{{end}}</table>
<h2>Backend servers</h2>
<table><tr><th>backend</th><th>service</th><th>data centre</th><th>state</th><th>admitter</th><th>memory</th><th>running</th><th>waiting</th><th>preemptions</th></tr>
{{range .View.Backends}}<tr><td>{{.Name}}</td><td>{{.Service}}</td><td>{{.DataCentre}}</td>
<td>{{if not .Reachable}}<span class="bad">unreachable</span>{{else if .Leaving}}leaving{{else}}{{.State}}{{end}}</td><td>{{.Admitter}}</td>
<td class="n">{{share .Report.UsedBlocks .Report.CapacityBlocks}}%</td><td class="n">{{.Report.Running}}/{{.Report.Slots}}</td>
<td class="n">{{.Report.Waiting}}</td><td class="n">{{.Report.Preemptions}}</td></tr>{{end}}</table>
<h2>Newest release notes</h2>
<table><tr><th>revision</th><th>accepted</th><th>author</th><th>note</th></tr>
{{range .History}}<tr><td class="n">{{.Number}}</td><td>{{clock .AcceptedUnixMs}}</td><td>{{.Note.Author}}</td><td>{{.Note.Id}}</td></tr>{{end}}</table>
<h2>Late, stalled, refused and unknown requests of this VM</h2>
<ul>{{range .Incidents}}<li><strong>{{.Request}}</strong> {{range .Sentences}}{{.Text}} {{end}}</li>{{else}}<li>None.</li>{{end}}</ul>
</body></html>
`))

// statusPage shows the state of the fleet as known to this VM. In a browser the
// operator enters the key as the password of basic authentication.
func (s *Server) statusPage(w http.ResponseWriter, _ *http.Request) {
	data := pageData{At: time.Now(), View: s.opts.VM.View(), Incidents: s.opts.VM.Incidents("", time.Time{}, maxPageEntries)}
	data.Ready, data.Reason = s.opts.VM.Ready()
	history := s.opts.VM.History()
	for i := len(history) - 1; i >= 0 && len(data.History) < maxPageEntries; i-- {
		data.History = append(data.History, history[i])
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	if err := pageTemplate.Execute(w, data); err != nil {
		s.opts.Log.Warn().Str("event", "statusPage").Str("error", err.Error()).Msg("")
	}
}
