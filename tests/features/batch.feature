Feature: Each job finishes exactly once
  The state of the workers is checked after each step of every scenario: no instance
  has more processors, memory or accelerators assigned than it has; no task runs in two
  places at once; evicted work resumes once, from its checkpoint; nothing starts in a
  failure domain seconds after it was taken out; no final state changes.

  Scenario Outline: Jobs finish exactly once although <fault>
    Given six jobs run in two failure domains
    When <fault>
    Then every job finishes
    And each job finished once on the workers

    Examples:
      | fault                                                 |
      | the log is down for an hour                           |
      | the log applies appends but loses the responses       |
      | the log stores every record twice                     |
      | each owner in turn is paused beyond its lease         |
      | a worker restarts                                     |
      | a worker is cut off and its scheduler is killed       |
      | all schedulers are killed at once                     |
      | a failure domain is taken out and brought back twice  |

  Scenario: A task whose end can't be reported runs again, but never twice at once
    Given six jobs run in two failure domains
    When a worker is cut off for longer than its leases
    Then every job finishes

  Scenario: A failure domain is taken out of service and brought back
    Given six jobs run in two failure domains
    When operators take failure domain "d1" out
    And 10 seconds pass
    Then nothing runs in failure domain "d1"
    When operators bring failure domain "d1" back
    Then every job finishes
    And each job finished once on the workers

  Scenario: A job that is too large for any instance fails with a reason
    Given six jobs run in two failure domains
    When a caller submits a job larger than any instance
    Then that job fails and its status has a reason
