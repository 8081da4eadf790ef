"""Steps for what tokens permit."""

from behave import then
from whole_path_steps import job_document


def make_call(context, token, call):
    verb, _, rest = call.partition(" ")
    request = context.system.request
    name = rest.split()[-1]
    if verb == "submit":
        document = job_document(f"{token}-{name}", 1, 20, team=name)
        return request("POST", "/v1/jobs", document, token=token)
    if verb == "explain":
        return request("GET", f"/v1/jobs/{name}/any/decisions", token=token)
    if verb == "list":
        return request("GET", "/v1/runners", token=token)
    changes = [{"path": name, "name": "team_weight", "value": 2}]
    document = {"base_version": 0, "changes": changes}
    return request("POST", "/v1/config/changes", document, token=token)


@then("these calls with these tokens get these statuses:")
def check_calls(context):
    found = [make_call(context, row["token"], row["call"])[0] for row in context.table]
    assert found == [int(row["status"]) for row in context.table], found
