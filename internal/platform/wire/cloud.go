package wire

// Paths of the cloud's API.
const (
	PathMachineTypes = "/machine_types"
	PathMachines     = "/machines"
	PathDelete       = "/machines/release"
)

// Limits of a single call to the cloud.
const (
	MaxRent   = 50  // machines in one rental
	MaxDelete = 100 // machines in one deletion
	MaxList   = 500 // machines on one page of the list
)

// MachineState is the state of a machine in the cloud's list.
type MachineState string

// The states of a listed machine.
const (
	MachineBooting MachineState = "booting"
	MachineRunning MachineState = "running"
	MachineFailed  MachineState = "failed"
)

// MachineType is a machine type that the cloud offers. Prices are per hour, of the whole machine.
type MachineType struct {
	Name        string   `json:"sku"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"gpus"`
	MemoryGB    float64  `json:"mem_gb"`
	CacheGB     float64  `json:"cache_gb"`       // size of the image cache
	FetchGBPerS float64  `json:"fetch_gb_per_s"` // rate at which images are fetched
	Price       float64  `json:"rate"`           // on-demand price
	SpotPrice   float64  `json:"spot_price"`
	BootS       float64  `json:"startup_s"` // nominal boot time
	Zones       []string `json:"yards"`     // zones that offer the type
}

// MachineTypes is the answer to a request for the machine types.
type MachineTypes struct {
	Types []MachineType `json:"builds"`
}

// RentRequest is a request to rent machines.
type RentRequest struct {
	Request string `json:"booking"` // idempotency key: a repeated request yields the same machines
	Type    string `json:"build"`
	Zone    string `json:"yard"`
	Spot    bool   `json:"standby"`
	Count   int    `json:"number"`
}

// MachineNames is a list of machine names: the answer to a rental, or the request of a deletion.
type MachineNames struct {
	Machines []string `json:"stalls"`
}

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
	Name    string       `json:"ref"`
	Address string       `json:"address"`
	Type    string       `json:"build"`
	Zone    string       `json:"yard"`
	Spot    bool         `json:"standby"`
	State   MachineState `json:"status"`
	AgeS    float64      `json:"age_s"` // time since the machine was created
}

// MachinePage is one page of the cloud's list of machines.
type MachinePage struct {
	Machines []ListedMachine `json:"stalls"`
	More     bool            `json:"has_next"` // another page follows
}

// FindMachineType returns the machine type with a name, or nil if there is none.
func FindMachineType(types []MachineType, name string) *MachineType {
	for i := range types {
		if types[i].Name == name {
			return &types[i]
		}
	}
	return nil
}
