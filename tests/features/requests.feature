Feature: Callers learn what happened to their requests
  The outcome that a caller gets is compared with the requests that the targets ran.

  Scenario Outline: A <kind> is sent to targets that first <behaviour>
    Given a gateway with three targets that first <behaviour>
    When a caller makes a <kind>
    Then the caller gets the outcome "<outcome>" by its deadline
    And the targets ran the request <count> time(s)
    And only the outcome "not-run" comes with a time to retry

    Examples: a lookup may run twice
      | kind   | behaviour               | outcome | count |
      | lookup | respond                 | done    | 1     |
      | lookup | cut the connection      | done    | 2     |
      | lookup | refuse                  | done    | 1     |
      | lookup | are unreachable         | done    | 1     |
      | lookup | never respond           | done    | 2     |
      | lookup | all refuse              | not-run | 0     |
      | lookup | are all unreachable     | not-run | 0     |
      | lookup | all cut the connection  | unknown | 3     |

    Examples: a purchase runs at most once
      | kind     | behaviour               | outcome | count |
      | purchase | respond                 | done    | 1     |
      | purchase | cut the connection      | unknown | 1     |
      | purchase | never respond           | unknown | 1     |
      | purchase | refuse                  | not-run | 0     |
      | purchase | are unreachable         | done    | 1     |
      | purchase | are all unreachable     | not-run | 0     |

  Scenario: The same purchase is sent through two gateways
    Given two gateways that share a ledger
    When a caller makes the same purchase at both
    Then the first outcome is "done" and the second is "unknown"
    And the targets ran the request 1 time(s)

  Scenario: A leaving target gets no further requests
    Given a gateway with three targets that first announce that they leave
    When a caller makes 20 lookups
    Then the leaving target received 1 of them
