Feature: What one entry or one worker answers ends no leadership

  Scenario Outline: An entry whose key is <odd> names no worker
    Guards against one entry of another writer that ends each leadership with an
    unexpected error, so that no task starts any more (LOST, review case 8).
    Given a cell with 1 workers and 2 instances
    When another writer registers a program under a key that is <odd>
    Then a job completes under the same leader
    And the program has received no request

    Examples:
      | odd                      |
      | no Latin-1 text          |
      | split by a line break    |
      | ended by a space         |
      | a control character      |
      | half of a surrogate pair |
      | empty                    |

  Scenario Outline: An entry whose address is <odd> names no worker
    Guards against the same error in another header, which has the address.
    Given a cell with 1 workers and 2 instances
    When another writer registers a program whose address is <odd>
    Then a job completes under the same leader
    And the program has received no request

    Examples:
      | odd                       |
      | in digits of another size |
      | a name                    |

  Scenario: A page that ends with an odd key is followed by the next one
    Guards against a leader that cannot ask for the next page of the workers, as
    the last key of the one before cannot stand in a query (LOST).
    Given a cell with 1 workers and 2 instances
    When another writer adds 300 entries with half of a surrogate pair
    And another instance becomes the leader
    Then a job completes

  Scenario Outline: An unexpected error of <call> costs only its worker
    Guards against a fault in the handling of one worker that ends each
    leadership, as every leader meets it again (LOST).
    Given a cell with 2 workers and 2 instances
    When <call> of the second worker ends with an unexpected error
    And a job of 4 tasks that fill half a worker each is submitted
    Then the job is completed under the same leader
    And the error was counted for "<subject>"

    Examples:
      | call         | subject |
      | each renewal | session |
      | each listing | session |
      | each start   | start   |

  Scenario: An unexpected error of a stop costs only its worker
    Guards against a stop that ends each leadership (LOST).
    Given a cell with 2 workers and 2 instances
    When each stop of the second worker ends with an unexpected error
    And a job that runs on both workers is cancelled
    Then a job completes under the same leader
    And the error was counted for "stop"

  Scenario: An unexpected error at the end of one run costs only that run
    Guards against tasks of a worker that is gone which never run again, as the
    end of another one failed.
    Given a cell with 2 workers and 2 instances
    When the end of one of 4 runs on the second worker fails and the worker ends
    Then the other 3 tasks are done under the same leader
    And the error was counted for "run"

  Scenario: A new leader survives a listing that ends with an unexpected error
    Guards against a recovery that fails at the listing of one worker (LOST).
    Given a cell with 2 workers and 2 instances
    When each listing of the second worker ends with an unexpected error in any leader
    And another instance becomes the leader
    Then a job completes
    And one instance was elected after the first leader

  Scenario Outline: An unexpected error in one row costs only that row
    Guards against one row that ends each leadership (LOST).
    Given a cell with 2 workers and 2 instances
    When <event> ends with an unexpected error
    Then a job completes under the same leader
    And the error was counted for "<subject>"

    Examples:
      | event                   | subject      |
      | a registration of "odd" | registration |
      | a stored job            | job          |
