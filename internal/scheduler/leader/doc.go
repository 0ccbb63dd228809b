// Package leader implements the control loop of the elected leader. While this member leads, the loop owns the job
// store, the machine registry and the plans for scale-out and scale-in, and brings the actual state of the cluster
// in line with the desired state.
//
// A Loop serves one term. One goroutine, called the loop's goroutine, owns all its state. It runs the messages of
// its inbox (see messages.go), and a step after each batch of messages and after each tick. Other goroutines do the
// I/O and hand their results back as messages. No part of a Loop therefore needs a lock.
//
// The state is divided by concern. Each part is a type of its own, in the file that holds its rules:
//
//   - loadState (load.go, reconcile.go): which stored records have been loaded into memory
//   - recordWriter (record_writer.go, commit.go): the transaction of job records that is in flight
//   - schedulingCycle (cycle.go, schedule.go, pending.go, preempt.go): when tasks are placed, and on which machines
//   - leaseQuery (lease_expiry.go): which machines' worker leases have expired
//   - probing (probing.go, step_down.go): which machines are probed for one-way partitions
//   - interruptionNotices (interruptions.go): spot machines that the cloud will reclaim soon
//   - fleetPlanning, arrivalLog, rentals (fleet.go, forecast.go, scale_out.go): which machines are rented
//   - deletions, cloudListing, replicaMoves (scale_in.go, cloud_listing.go, consolidation.go): which machines are
//     returned to the cloud, and which are found to be gone
//   - subsystemSet (subsystems.go, subsystem_writes.go): the subsystems that run inside the loop, and their transactions
//   - serviceLevels (service_levels.go): which jobs arrived and which began, for metrics
//   - imageHints (image_hints.go): which machines hold which container images, stored for the next leader
//
// Code whose only state is the job store and the machine registry is in files of its own: the handling of
// heartbeats (heartbeats.go, outcomes.go, failures.go), the commands for workers (commands.go), the views of
// machines and teams that placement uses (machine_views.go, team_usage.go), silent machines and partitioned zones
// (partitions.go), the allowed size of the fleet (fleet_size.go), and the requests of users (job_requests.go,
// queries.go, explain.go).
package leader
