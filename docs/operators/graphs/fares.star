# Fares of each day; a week that was missed is made up for with a backfill.
DAG(
    "check-fares",
    team = "fares-team",
    schedule = "@daily",
    timezone = "America/Guayaquil",
    start_date = "2026-11-01",
    catchup = False,
    max_active_runs = 3,
    default_args = {"job_class": "fare-check", "image": "fares:3", "cpus": 4, "memory_gb": 7.6, "spot": True, "retries": 1, "retry_delay": 60},
)
fetch = JobOperator(task_id = "load", estimate_s = 40)
regions = [JobOperator(task_id = "region-" + r, tasks = 35, estimate_s = 40) for r in ["coast", "andes", "amazon"]]
fetch >> regions >> JobOperator(task_id = "publish", cpus = 1, memory_gb = 1, estimate_s = 5)
