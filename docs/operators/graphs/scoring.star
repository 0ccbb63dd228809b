# Scoring by match: the first step leaves the list of matches, each is scored by a job of its own.
DAG(
    "score-matches",
    team = "fraud-desk",
    max_active_tasks = 40,
    params = {"day": "today"},
    default_args = {"job_class": "fraud-scoring", "image": "scoring:12", "image_gb": 1.2, "cpus": 4, "memory_gb": 12},
)
matches = JobOperator(task_id = "list-matches", cpus = 1, memory_gb = 1, estimate_s = 15)
score = JobOperator.partial(
    task_id = "score", tasks = 20, estimate_s = 50, checkpoint_s = 10, spot = True, pool = "scoring", retries = 2,
).expand(items = matches.output)

# A few bad listings must not hold back the report.
report = JobOperator(task_id = "report", cpus = 1, memory_gb = 2, estimate_s = 20, trigger_rule = "none_failed_min_one_success")
alarm = JobOperator(task_id = "alarm", cpus = 1, memory_gb = 1, estimate_s = 5, trigger_rule = "one_failed")

score >> [report, alarm]
