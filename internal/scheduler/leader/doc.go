// Package leader is the control loop of the leader. While this member leads, the loop owns the job store, the machine
// registry and the plans for scaling out and in, and brings the actual state in line with the desired one.
//
// A Loop serves one term. One goroutine owns all its state: it runs the messages of its inbox (see messages.go) and a step
// after each of them and after each tick. I/O is done by other goroutines, which hand their results back as messages. No part
// of a Loop therefore needs a lock.
//
// The state is parted by concern. Each part is a type of its own in the file that holds its rules:
//
//   - loadState (load.go, reconcile.go): which stored records are in memory
//   - recordWriter (record_writer.go, commit.go): the transaction of job records that is in flight
//   - schedulingCycle (cycle.go, schedule.go, pending.go, preempt.go): when jobs are placed, and on what
//   - leaseQuery (lease_expiry.go): which machines lost their leases
//   - probing (probing.go, step_down.go): which machines are probed for one-way partitions
//   - interruptionNotices (interruptions.go): spot machines that the cloud takes soon
//   - fleetPlanning, arrivalLog, rentals (fleet.go, forecast.go, scale_out.go): which machines are rented
//   - deletions, cloudListing, replicaMoves (scale_in.go, cloud_listing.go, consolidation.go): which are returned, and lost
//   - subsystemSet (subsystems.go, subsystem_writes.go): the subsystems that join the loop, and their transactions
//   - serviceLevels (service_levels.go): who is served, for metrics
//   - imageHints (image_hints.go): which machines hold which images, for the next leader
//
// What has no state but the job store and the machine registry lies in files of its own: what a heartbeat brings
// (heartbeats.go, outcomes.go, failures.go), the commands for workers (commands.go), what machines and teams look like to
// placement (machine_views.go, team_usage.go), silent machines and partitioned zones (partitions.go), the size that the fleet may
// have (fleet_size.go), and the requests of users (job_requests.go, queries.go, explain.go).
package leader
