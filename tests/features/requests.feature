Feature: Callers are told the truth
  What a caller is told is compared with what the targets ran.

  Scenario Outline: A <kind> meets targets that first <behaviour>
    Given a gateway with three targets that first <behaviour>
    When a caller makes a <kind>
    Then the caller is told "<outcome>" by its deadline
    And the targets ran it <count> time(s)
    And a "not-run" came with the time to return

    Examples: a lookup may run twice
      | kind   | behaviour               | outcome | count |
      | lookup | answer                  | done    | 1     |
      | lookup | cut the connection      | done    | 2     |
      | lookup | refuse                  | done    | 1     |
      | lookup | cannot be reached       | done    | 1     |
      | lookup | never answer            | done    | 2     |
      | lookup | all refuse              | not-run | 0     |
      | lookup | all cannot be reached   | not-run | 0     |
      | lookup | all cut the connection  | unknown | 3     |

    Examples: a purchase runs at most once
      | kind     | behaviour               | outcome | count |
      | purchase | answer                  | done    | 1     |
      | purchase | cut the connection      | unknown | 1     |
      | purchase | never answer            | unknown | 1     |
      | purchase | refuse                  | not-run | 0     |
      | purchase | cannot be reached       | done    | 1     |
      | purchase | all cannot be reached   | not-run | 0     |

  Scenario: The same purchase comes twice, through two gateways
    Given two gateways that share a ledger
    When a caller makes the same purchase at both
    Then one is told "done" and the other "unknown"
    And the targets ran it 1 time(s)

  Scenario: A target that is leaving
    Given a gateway with three targets that first say they leave
    When a caller makes 20 lookups
    Then the target that is leaving received 1 of them
