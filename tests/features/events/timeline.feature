Feature: Events of all instances form one timeline

  Scenario: A cause precedes its effect regardless of the wall clocks
    Then a received message is always stamped after its sending
    And times of one instance always increase

  Scenario: A peer whose clock is far ahead does not advance other clocks
    Given an instance whose clock shows 1000000 ms
    When it receives a time that is an hour ahead
    Then its next time is still at 1000000 ms

  Scenario: The ring is bounded and reports what it dropped
    Given an event ring of 100 events
    When 250 requests are accepted
    Then the ring has the latest 100 events and dropped 150

  Scenario: Events are found by the id of a job, a task or a worker
    Given an event ring of 100 events
    When task "j1.0" of job "centro-a.j1" starts on worker "w1"
    And a task of another job starts
    Then the ids "centro-a.j1", "w1" and "centro-a.j1.0" each find 1 event

  Scenario: Overlapping collections are merged without duplicates
    Then merging any overlapping parts gives all events once in causal order

  Scenario Outline: The timeline is exported
    Given the events of a task that starts on one instance and ends on another
    When the timeline is exported as "<format>"
    Then the export is valid "<format>" with both events in order

    Examples:
      | format |
      | text   |
      | jsonl  |
      | trace  |
