Feature: Tokens limit what callers and operators may do

  Scenario: Tokens are limited by team, subtree and role
    Given a system of 1 entries and 1 runners
    Then these calls with these tokens get these statuses:
      | token          | call                         | status |
      | caller-token   | submit for schools           | 200    |
      | schools-token  | submit for schools           | 200    |
      | schools-token  | submit for hotels            | 403    |
      | schools-token  | explain a job of hotels      | 403    |
      | runner-token   | submit for schools           | 403    |
      | caller-token   | list runners                 | 403    |
      | subtree-token  | list runners                 | 200    |
      | subtree-token  | change team/schools          | 200    |
      | subtree-token  | change team/hotels           | 403    |
      | wrong          | list runners                 | 401    |
