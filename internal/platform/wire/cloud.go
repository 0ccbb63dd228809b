package wire

// Paths of the cloud.
const (
	PathMachineTypes = "/machine_types"
	PathMachines     = "/machines"
	PathDelete       = "/machines/release"
)

// Limits of single calls to the cloud.
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

// MachineType is a kind of machine that the cloud rents.
type MachineType struct {
	Name        string   `json:"sku"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"gpus"`
	MemoryGB    float64  `json:"mem_gb"`
	CacheGB     float64  `json:"cache_gb"`
	FetchGBPerS float64  `json:"fetch_gb_per_s"`
	Price       float64  `json:"rate"`
	SpotPrice   float64  `json:"spot_price"`
	BootS       float64  `json:"startup_s"`
	Zones       []string `json:"yards"`
}

// MachineTypes answers a request for the types.
type MachineTypes struct {
	Types []MachineType `json:"builds"`
}

// RentRequest asks for machines.
type RentRequest struct {
	Request string `json:"booking"`
	Type    string `json:"build"`
	Zone    string `json:"yard"`
	Spot    bool   `json:"standby"`
	Count   int    `json:"number"`
}

// MachineNames names machines, in a rental's answer or a deletion.
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
	AgeS    float64      `json:"age_s"`
}

// MachinePage is a page of the cloud's list.
type MachinePage struct {
	Machines []ListedMachine `json:"stalls"`
	More     bool            `json:"has_next"`
}

// TypeNamed returns the machine type of a name; nil when there is none.
func TypeNamed(types []MachineType, name string) *MachineType {
	for i := range types {
		if types[i].Name == name {
			return &types[i]
		}
	}
	return nil
}
