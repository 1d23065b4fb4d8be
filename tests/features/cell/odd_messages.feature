Feature: An odd entry or message costs only itself

  Scenario Outline: A number that is too large is rejected with its job
    Guards against a job that ends each leader, since arithmetic with floats
    fails for a number of 401 digits (LOST).
    Given a cell with 1 workers and 2 instances
    When a job whose <field> has 401 digits is submitted
    Then the submission is rejected with 400
    And a job completes under the same leader

    Examples:
      | field        |
      | estimateMs   |
      | cpu          |
      | antiAffinity |
      | startAtMs    |
      | intervalMs   |
      | repeats      |

  Scenario: A job with a thousand million due occurrences holds up no other
    Guards against a leader that stands still, as it opens each occurrence that
    is due (LOST).
    Given a cell with 1 workers and 2 instances
    When a job of 1000000000 occurrences that are all due is submitted
    Then the submission is answered with 200
    And a job completes under the same leader
    And more than 100 occurrences of the first job are completed

  Scenario: A stored job with a number that is too large is skipped
    Guards against a row of an earlier version that ends each leader (LOST).
    Given a stored job whose estimate has 401 digits
    And a cell with 1 workers and 2 instances that restores it
    Then a job completes under the same leader

  Scenario Outline: A listing with an odd number costs only its worker
    Guards against a listing that ends each leader which reads it (LOST).
    Given a cell with 2 workers and 2 instances
    When the listings of the second worker have <odd row>
    Then a job completes under the same leader

    Examples:
      | odd row                              |
      | a run of a task that the job lacks   |
      | a progress of 401 digits            |
      | a run with an infinite number       |
      | a run with a number of 401 digits   |
      | a task at a negative position       |
      | an ended task at a negative position |
      | an end with an infinite number      |

  Scenario Outline: A malformed row costs only itself
    Guards against a leader that reads no page of a table any more, since one of
    its rows is malformed (RECOVER).
    Given a cell with 1 workers and 2 instances
    When every page of the store has a row <odd>
    And the leader ends and another instance leads
    Then a job completes

    Examples:
      | odd                     |
      | that is a text          |
      | without a key           |
      | with a key of a number  |
      | with a version of a text |

  Scenario: Answers of the store that are nested too deeply end nothing
    Guards against an instance that follows neither the election nor the
    configuration any more, since a decoder reaches the limit of recursion.
    Given a cell with 1 workers and 2 instances
    When every answer of the store is nested too deeply for 2 s
    And the key is withdrawn
    Then a submission is answered with 401 soon
    When the leader ends
    Then another instance is the leader

  Scenario Outline: Answers of the store with odd numbers end nothing
    Guards against an instance that follows neither the election nor the
    configuration any more, since a number exceeds its type.
    Given a cell with 1 workers and 2 instances
    When every answer of the store has <odd> for 2 s
    And the key is withdrawn
    Then a submission is answered with 401 soon
    When the leader ends
    Then another instance is the leader

    Examples:
      | odd                       |
      | an infinite version       |
      | a version of 5,000 digits |
      | an infinite time          |
      | a time of 401 digits      |
      | a time that is a text     |

  Scenario Outline: An instance with an odd address is left out
    Guards against calls to other instances that fail with an unexpected error
    in place of the leader's calls to those that can be reached.
    Given a stored instance whose address is <address>
    And a cell with 1 workers and 2 instances that restores it
    Then the leader knows the other instance only

    Examples:
      | address             |
      | 5                   |
      | null                |
      | "127.0.0.1"         |
      | "127.0.0.1:99999"   |
      | "127.0.0.1:nothing" |

  Scenario: A start whose answer is malformed may have begun
    Guards against a task that is started on another worker beside a run that
    is taken not to have begun (TWICE).
    Given a cell with 2 workers and 1 instances
    And the workers answer starts with a malformed body
    When a job of 1 tasks with 1000 millicores each is submitted
    And the worker that runs it drains before its next listing
    Then no task ran in two places within 2 s

  Scenario Outline: A damaged entry of a live worker ends none of its runs
    Guards against a live worker that is given up, or used no more, after one
    damaged write of its entry (LOST).
    Given a cell with 1 workers and 1 instances
    When a job of 1 tasks with 1000 millicores each is submitted
    And the entry of its worker is <damaged> for 2 s
    Then the job is completed by a single run
    And a job completes under the same leader

    Examples:
      | damaged               |
      | nested too deeply     |
      | no JSON               |
      | without an address    |
      | with a port of 99999  |
      | of 401 digits of cores |
