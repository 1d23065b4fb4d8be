Feature: The preview describes the effects of a rules change

  Scenario Outline: Each kind of change is described in a sentence
    Given a cluster of 100 slots where "claims" runs 90 and "public" runs 10
    When "<old>" becomes "<new>" in the previewed rules
    Then the preview says "<sentence>"

    Examples:
      | old          | new           | sentence                                          |
      | share 40     | share 20      | Team claims gets a smaller share: 20 instead of 40 |
      | limit 20     | limit 30      | Team public may run up to 30 tasks at once        |
      | limit 200    | limit 50      | 90 tasks, 40 above its limit of 50                |
      | open team public | keyed     | a key is needed, and work runs for the team       |
      | deadline 6h  | deadline 1h   | must start within 3600 s instead of 21600 s       |
      | priority 5   | priority 1    | starts later among equally served teams           |
      | attempts 3   | attempts 2    | A task is tried up to 2 times                     |
      | after 5      | after 4       | quarantined after 4 failed jobs                   |
      | centro-a centro-b | centro-b | Work prefers centro-b                             |
      | asked by claims desk | asked by others | Nothing changes.                        |

  Scenario: Gains and losses agree with the scheduler's target function
    Then for any two sets of teams the effects agree with max_min_targets
