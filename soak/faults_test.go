package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/amaranthwell/amaranthwell/platform"
	"github.com/amaranthwell/amaranthwell/standin"
)

const (
	// Kinds of fault are numbers less than faultKinds. Those less than
	// processFaultKinds act on a process, 4 to 6 on the store, 7 resets the
	// connections of a proxy, 8 delays commands to workers, and all higher ones set the
	// mode of a proxy.
	processFaultKinds = 4
	faultKinds        = 16
)

// injectFault injects a random fault into a process, a proxy or the store, and ends it
// after a random time. It does so in a goroutine that is added to wait.
func (c *cluster) injectFault(random *rand.Rand, wait *sync.WaitGroup) {
	i := c.instances[random.IntN(len(c.instances))]
	duration := time.Duration(200+random.IntN(2500)) * time.Millisecond
	p := c.proxies[random.IntN(len(c.proxies))]
	mode := delayAll + proxyMode(random.IntN(int(proxyModes-delayAll)))
	kind := random.IntN(faultKinds)
	if kind >= processFaultKinds {
		wait.Go(func() { c.injectConnectionOrStoreFault(kind, p, mode, duration) })
		return
	}
	wait.Go(func() {
		i.faultMu.Lock()
		defer i.faultMu.Unlock()
		switch kind {
		case 0:
			i.signal(syscall.SIGKILL)
			i.wait()
			time.Sleep(duration)
			_ = i.start()
		case 1:
			i.signal(syscall.SIGSTOP)
			time.Sleep(duration)
			i.signal(syscall.SIGCONT)
		case 2:
			i.signal(syscall.SIGTERM)
			i.wait()
			_ = i.start()
		case 3:
			i.signal(syscall.SIGKILL)
			i.wait()
			time.Sleep(quickRestart)
			_ = i.start()
		}
	})
}

// injectConnectionOrStoreFault injects a fault of the given kind into p or the store,
// and ends it after duration. Only the kinds that set the mode of p use mode.
func (c *cluster) injectConnectionOrStoreFault(kind int, p *proxy, mode proxyMode, duration time.Duration) {
	switch kind {
	case 4:
		c.store.SetDown(true)
		time.Sleep(duration)
		c.store.SetDown(false)
	case 5:
		c.store.SetFaults(standin.StoreFaults{Delay: faultDelay, LoseAnswers: 3, DropRequests: 3})
		time.Sleep(duration)
		c.store.SetFaults(standin.StoreFaults{})
	case 6:
		for _, topic := range []string{platform.WorkerTopic, platform.OperatorTopic, platform.MemberTopic} {
			c.store.Expire(topic, c.store.End(topic))
		}
	case 7:
		p.reset()
	case 8:
		c.late.Store(true)
		time.Sleep(duration)
		c.late.Store(false)
	default:
		p.runMode(mode, duration)
	}
}
