Feature: The worker stand-in of the cell measures leases in its own time

  Guards against runs that lapse only because the test process was paused: in a
  worker of its own, they would have been done before.

  Scenario Outline: A pause of the test process does not change how a run ends
    Given a stand-in cell worker whose lease ends after 1000 ms
    When it runs a task of <task> ms and the test process is paused for 1200 ms
    Then its run has ended as "<end>"

    Examples:
      | task | end    |
      | 300  | done   |
      | 1500 | lapsed |
