Feature: A leader that is too slow gives way to a better placed instance

  Scenario: A recovery over a thin link is left to a better placed instance
    Guards against a leader that keeps its heartbeat but serves hardly anything
    for many seconds (hunt-d91e-31 of cordero-agenda-grown).
    Given 3000 stored jobs that wait
    And a cell with 1 workers and an instance on a link of 2 Mbit/s
    And another instance joins
    Then the instance that started last is the leader
    And every stored job is known in epoch 2

  Scenario: A leader on a thin link gives way once if workers do not answer
    Guards against a leadership that moves on and on while workers answer no
    instance.
    Given a cell with 2 workers and an instance on a link of 10 Mbit/s
    And another instance joins
    When the workers fall silent but stay registered
    Then the instance that started last is the leader
    And it is still the leader 6 s later, in epoch 2

  Scenario Outline: A leader without a better placed instance stays the leader
    Guards against a hand-over that cannot help.
    Given a cell with 2 workers and an instance on a link of <leader> Mbit/s
    And another instance on a link of <other> Mbit/s joins
    When the workers fall silent but stay registered
    Then the first instance is still the leader 8 s later, in epoch 1

    Examples:
      | leader | other |
      | 10     | 10    |
      | 100    | 100   |
      | 100    | 10    |

  Scenario Outline: Leadership is offered only in trouble that lasts
    Guards against a hand-over for a short silence of workers or for a few of
    them.
    Given a leader that was elected at 10 s
    When it has <recovered> the state and <percent>% of its workers answer
    Then it offers its leadership for "<cause>" at <time> s

    Examples:
      | recovered    | percent | time | cause                 |
      | not restored | 100     | 11.9 |                       |
      | not restored | 100     | 12.1 | slow recovery         |
      | restored     | 100     | 60.0 |                       |
      | restored     | 91      | 60.0 |                       |
      | restored     | 88      | 11.9 |                       |
      | restored     | 88      | 12.1 | workers do not answer |

  Scenario Outline: A leader whose link is busy offers its leadership
    Guards against a leader on a thin link that reaches all workers, but sends
    commands and reads listings late (sweep of barakat at 300 instances).
    Given a leader that was elected at 10 s
    When it has <recovered> the state and 100% of its workers answer
    And it uses <percent>% of its link
    Then it offers its leadership for "" at 11.9 s
    And it offers its leadership for "<cause>" at 12.1 s

    Examples:
      | recovered | percent | cause            |
      | restored  | 50      |                  |
      | restored  | 51      | the link is busy |

  Scenario: A link that is busy for a short time leaves leadership where it is
    Guards against a hand-over for a burst of listings.
    Given a leader that was elected at 10 s
    When it has restored the state and 100% of its workers answer
    And it uses 90% of its link
    Then it offers its leadership for "" at 11.5 s
    When it uses 20% of its link
    Then it offers its leadership for "" at 11.75 s
    When it uses 90% of its link
    Then it offers its leadership for "" at 13.5 s

  Scenario Outline: The use of a link is that of its busier direction
    Guards against a share that is that of a single moment, or of a link whose
    rate is not known.
    Given a link of <rate> Mbit/s
    When it has received <received> and sent <sent> bytes <elapsed> s later
    Then <percent>% of it are in use

    Examples:
      | rate | received | sent    | elapsed | percent |
      | 10   | 1000000  | 10      | 1.0     | 80      |
      | 10   | 10       | 1250000 | 2.0     | 50      |
      | 10   | 1000000  | 10      | 0.5     | 0       |
      | 0    | 1000000  | 10      | 1.0     | 0       |

  Scenario: Workers that answer again leave leadership where it is
    Guards against silences that are added up.
    Given a leader that was elected at 10 s
    When it has restored the state and 50% of its workers answer
    Then it offers its leadership for "" at 11.5 s
    When it has restored the state and 100% of its workers answer
    Then it offers its leadership for "" at 11.75 s
    When it has restored the state and 50% of its workers answer
    Then it offers its leadership for "" at 13.5 s
    And it offers its leadership for "workers do not answer" at 14.0 s

  Scenario: An offer that nobody accepted is repeated after a pause
    Guards against a slow leader that spends its link on offers.
    Given a leader that was elected at 10 s
    When it has not restored the state and 100% of its workers answer
    And nobody accepts its offer at 12.5 s
    Then it offers its leadership for "" at 15.4 s
    And it offers its leadership for "slow recovery" at 15.6 s
