package router

import (
	"reflect"

	"github.com/reelrun/reelrun/settings"
)

// Reload applies settings while the node runs: its seeds and the bounds of
// upstream retries. Names and addresses require a restart.
func (r *Router) Reload(reloaded *settings.Router) {
	before := r.settings.Swap(reloaded)
	if reflect.DeepEqual(before, reloaded) {
		return
	}
	needsStart := before.Name != reloaded.Name || before.CallerAddress != reloaded.CallerAddress ||
		before.ReadyAddress != reloaded.ReadyAddress || before.PeerAddress != reloaded.PeerAddress ||
		before.StoreAddress != reloaded.StoreAddress
	r.options.Logger.Info("reload", "seeds", reloaded.Seeds, "needs_start", needsStart)
}
