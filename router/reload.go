package router

import (
	"reflect"

	"github.com/reelrun/reelrun/settings"
)

// Reload puts settings in force while the node runs: its seeds and the bounds of
// retries. Names and addresses need another start.
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
