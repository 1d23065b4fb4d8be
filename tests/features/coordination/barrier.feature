Feature: The term barrier accounts for every task that can run

  Scenario: Every worker is owned by an instance that acknowledged the term
    Given a term barrier over workers "w1, w2" with a current list
    When "e1" acknowledges with workers "w1"
    Then the barrier waits for "w2"
    When "e2" acknowledges with workers "w2"
    Then the barrier is settled

  Scenario: A lost worker holds the barrier until its lease has expired
    Given a term barrier over workers "w1, w2" with a current list
    When "e1" acknowledges with workers "w1"
    Then the barrier waits for "w2" for 12500 ms and is settled then

  Scenario: A worker removed from the platform does not hold the barrier
    Given a term barrier over workers "w1, w2" with a current list
    When "e1" acknowledges with workers "w1"
    And the list names only "w1"
    Then the barrier is settled

  Scenario: A stale list does not settle the barrier after an instance dies
    Given a term barrier over workers "w1" with a current list
    When "e1" acknowledges with workers "w1"
    And "e2" dies before it reports and the list is not read again
    Then the barrier is settled only after 12500 ms

  Scenario: A live member that has not acknowledged holds the barrier
    Given a term barrier over workers "w1" with a current list
    When "e1" acknowledges with workers "w1"
    Then the barrier is not settled while "e2" is a member

  Scenario: Pauses, crashes and unreachable workers never hide a task
    Then no settled barrier leaves a running task unreported

  Scenario: The check above fails if a paused instance is not fenced
    Then without fencing after a pause some settled barrier hides a task
