# Nightly settlement: what yesterday's sales owe to each coach owner, then the payouts.
DAG(
    "nightly-settlement",
    team = "payouts-team",
    schedule = "30 2 * * *",
    timezone = "America/Guayaquil",
    start_date = "2026-12-01",
    max_active_runs = 1,
    default_args = {
        "job_class": "settlement", "image": "settlement:7", "image_gb": 0.8, "cpus": 2, "memory_gb": 4,
        "retries": 3, "retry_delay": timedelta(seconds = 30), "retry_exponential_backoff": True,
    },
)
collect = JobOperator(task_id = "collect-sales", estimate_s = 120)
check = JobOperator(task_id = "check-seats", estimate_s = 60)
reconcile = JobOperator(task_id = "reconcile", estimate_s = 300, execution_timeout = timedelta(minutes = 20))

# Payouts of one night begin once those of the night before are through.
pay = JobOperator(task_id = "pay-owners", estimate_s = 180, depends_on_past = True)
tell = JobOperator(task_id = "tell-desk", estimate_s = 10, trigger_rule = TriggerRule.ALL_DONE, retries = 0)

[collect, check] >> reconcile >> pay >> tell
