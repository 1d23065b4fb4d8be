Feature: A gang gets all of its capacity or none of it

  Scenario: No replies of instances leave a gang partly committed
    Then a gang is committed only if all its tasks are reserved, for any replies

  Scenario: Tasks that an instance cannot reserve are planned elsewhere
    Given a gang of 6 tasks on digests of e1 with 6 and e2 with 4 slots
    When e1 reserves only 4 of the gang's tasks
    Then e2 is asked for the missing 2 tasks
    And the gang is ready once e2 has reserved 2

  Scenario: A gang that does not fit holds capacity for a bounded time
    Given a gang of 20 tasks on digests with 10 slots
    When the gang holds the service for 30000 ms
    Then a task of 20000 ms is backfilled but not one of 40000 ms or unknown
    And after the hold every task may start and the gang may not hold again at once

  Scenario: A reservation that is about to expire is not committed
    Given a gang that is fully reserved
    When 28000 of its 30000 ms have passed
    Then the gang is not committed and must be released at its holders

  Scenario: A gang larger than the zone is detected
    Then 24 workers with 8 slots can run a gang of 192 tasks but not 193
