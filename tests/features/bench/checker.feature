Feature: The checks find every violation

  Guards against a check that misses a violation or reports an allowed case:
  each example contains one violation or a similar, allowed case.

  Scenario: A clean run passes
    Given the observations of a clean run
    Then the verdict passes
    And the verdict has every promised field
    And the verdict says that "sent" is 3
    And the verdict says that "answered" is 1
    And the verdict says that "refused_not_run" is 1
    And the verdict says that "unknown" is 1
    And the verdict says that "wait_p50_ms" is 10

  Scenario: The fraction of requests served by a cut-off zone is measured
    Guards against counting requests to other zones or at other times.
    Given the observations of a clean run
    And the zone "centro-a" was cut off while it answered 3 of 4 lookups
    Then the verdict says that 75 percent were served while cut off

  Scenario Outline: A violation is counted in its field only
    Given the observations of a clean run
    And the observations also include "<case>"
    Then the verdict counts <count> of "<field>" and nothing else

    Examples:
      | case                                        | field                 | count |
      | a non-idempotent request started twice      | ran_twice             | 1     |
      | a non-idempotent job task started twice     | ran_twice             | 1     |
      | a task running on two workers               | two_places            | 1     |
      | a task running twice under two attempt ids  | two_places            | 1     |
      | more tasks of a job at once than it has     | two_places            | 1     |
      | a single run started again by another id    | ran_twice             | 1     |
      | a single run with too many starts           | ran_twice             | 1     |
      | a task finished twice and its sibling never | lost_jobs             | 1     |
      | a start refused for lack of room            | overcommitted         | 1     |
      | more tasks on a worker than it has slots    | overcommitted         | 1     |
      | more memory on a worker than it has         | overcommitted         | 1     |
      | a team above its limit                      | over_limit            | 1     |
      | a team above a limit lowered long ago       | over_limit            | 1     |
      | work that ran after "not run"               | false_not_run         | 1     |
      | an answer with the token of another         | wrong_answer          | 1     |
      | work for a withdrawn key                    | work_after_withdrawal | 1     |
      | a start on a worker leaving for 6 s         | work_to_leaving       | 1     |
      | a refusal by a worker leaving for 6 s       | work_to_leaving       | 1     |
      | a job that never finished                   | lost_jobs             | 1     |
      | a job reported finished with a task missing | lost_jobs             | 1     |
      | a job reported failed without a failure     | lost_jobs             | 1     |
      | a job reported failed as its worker died    | lost_jobs             | 1     |
      | a service that no longer runs               | lost_jobs             | 1     |
      | a request broken off by a planned stop      | cut_short             | 1     |
      | a planned stop that had to be killed        | cut_short             | 1     |
      | a version that goes back                    | config_reverted       | 1     |
      | a version accepted twice                    | config_reverted       | 1     |
      | an entry that never saw the last version    | config_reverted       | 1     |
      | a text that differs in one version          | config_reverted       | 1     |

  Scenario Outline: An allowed case is not counted
    Given the observations of a clean run
    And the observations also include "<case>"
    Then the verdict passes

    Examples:
      | case                                      |
      | a request started again elsewhere         |
      | a team above a limit lowered just now     |
      | a limit lowered during a cut              |
      | an unknown request that ran               |
      | a repeat refused after the first ran      |
      | work for a withdrawn key in a cut zone    |
      | work sent just before a key's withdrawal  |
      | a start on a worker leaving for 1 s       |
      | a cancelled job that never finished       |
      | a job reported impossible                 |
      | a job reported failed after a failure     |
      | a single run failed as its worker died    |
      | a service that still runs                 |
      | a request broken off by a crash           |

  Scenario: The checks agree with a direct count of running tasks
    Then the checks agree with a direct count for random histories
