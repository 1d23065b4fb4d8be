Feature: Workers of other systems are left alone, and end no leadership

  Scenario Outline: A worker of a service that no configuration names is not used
    Guards against a leader that takes the refusal of another system's worker for
    the proof of its own end (LOST, review case 6), or takes that worker over and
    stops its tasks.
    Given a cell with 1 workers and 2 instances
    When a worker of another system, with the token <token>, registers a service that is not configured
    Then a job completes under the same leader
    And the worker of the other system has received no command in 3 s
    And it still runs its task

    Examples:
      | token |
      | 0     |
      | 5000  |

  Scenario: A worker that has seen a higher token costs only itself
    Guards against a worker of a configured service whose refusal ends each
    leadership (LOST).
    Given a cell with 3 workers and 2 instances
    When a further worker registers that has seen the token 5000
    And the second worker has seen the token 5000
    Then 4 jobs complete under the same leader

  Scenario: Workers that have seen a higher token cost only themselves
    Guards against a leadership that ends, as two of three workers were used by
    another system (LOST).
    Given a cell with 3 workers and 2 instances
    When all workers but the first have seen the token 5000, one each 2 s
    Then 4 jobs complete under the same leader

  Scenario: A worker that keeps refusing the token is asked less and less often
    Guards against a session, and lines in the log, with each renewal of its
    registration.
    Given a cell with 1 workers and 2 instances
    When a further worker registers that has seen the token 5000
    And it renews its registration each 0.5 s for 10 s
    Then it has received at most 8 commands

  Scenario: A start that is refused for its token is repeated elsewhere
    Guards against a run that is never started again, as its first worker refused
    it for the fencing token.
    Given a cell with 2 workers and 2 instances
    When the second worker refuses starts for their token
    Then 4 jobs complete under the same leader

  Scenario: A worker that accepts the token again is used again
    Guards against a worker that stays unused after another system has left it.
    Given a cell with 1 workers and 2 instances
    When a further worker registers that has seen the token 5000
    And it starts again and has seen no token
    Then the leader uses 2 workers within 10 s

  Scenario: A leader that most workers refuse ends its leadership
    Guards against a leader that goes on although another one was elected, while
    the store does not answer it; and against a token that stays too low.
    Given a cell with 3 workers and 2 instances
    When all workers have seen the token 3
    Then a leader with the token 3 is elected
    And a job completes

  Scenario: A service that is configured later is used without a restart
    Guards against registered workers that stay unused, as their registration does
    not change when a configuration names their service.
    Given a cell with 1 workers and 2 instances
    When a worker registers the service "later"
    And a configuration adds a queue of the service "later"
    Then a job of that queue completes under the same leader

  Scenario: A list of services that cannot be read leaves those of the queues
    Guards against a configuration that nobody adopts, as its list of services has
    another form.
    Given a cell with 1 workers and 2 instances
    When a configuration lists its services as a number
    Then a job completes under the same leader
    And every instance has adopted version 2

  Scenario: A service that is removed keeps its runs until they end
    Guards against runs that lapse, as the configuration no longer names the
    service of their worker.
    Given a cell with 1 workers and 2 instances
    When a job of 1 tasks with 1000 millicores each is submitted
    And a configuration removes the service "claims"
    Then the job is completed by a single run

  Scenario: A new leader keeps the runs of a removed service
    Guards against runs that a new leader gives up, as no configuration that it
    knows names the service of their worker.
    Given a cell with 1 workers and 2 instances
    When a job of 1 tasks with 1000 millicores each is submitted
    And a configuration removes the service "claims"
    And the leader is asked to stop
    Then the job is completed by a single run

  Scenario Outline: The refusals of <refusing> of <count> workers
    Guards against a leadership that one worker ends, and against a leader that
    never learns that its token is too low.
    Given a leader of <count> workers
    When <refusing> workers refuse its token, one each second
    Then its token is refused <extent>

    Examples:
      | refusing | count | extent       |
      | 1        | 2     | by some      |
      | 2        | 4     | by some      |
      | 3        | 4     | by most      |
      | 1        | 19000 | by some      |

  Scenario Outline: The refusals of <refusing> of 3 workers, while the others <others>
    Guards against a leadership that ends although a worker accepts its token, or
    may do so once it answers.
    Given a leader of 3 workers
    And its workers <others>
    When <refusing> workers refuse its token, one each second
    Then its token is refused <extent>

    Examples:
      | refusing | others                | extent  |
      | 2        | answer                | by some |
      | 2        | have not answered yet | by some |
      | 2        | are silent            | by most |
      | 2        | are gone              | by most |
      | 1        | are silent            | by some |
      | 3        | answer                | by most |

  Scenario Outline: A refusal counts no longer once <event>
    Guards against a leadership that ends with refusals of long ago.
    Given a leader of 4 workers
    When 2 workers refuse its token, one each second
    And <event>
    And a further worker refuses its token
    Then its token is refused by some

    Examples:
      | event                        |
      | the first worker accepts it  |
      | no worker refuses its token for 12 s |
