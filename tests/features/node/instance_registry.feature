Feature: The row of an instance has the address of its latest process

  Scenario Outline: A late write of a former process, which takes effect <moment>
    Guards against an instance that the leader cannot call, as a write of its former
    process without an answer replaced the address of the next one.
    Given an instance whose process registers and gets no answer
    When its next process, at another address, registers and gets <answer>
    And the write of the former process takes effect <moment>
    Then the row of the instance has the address of the next process

    Examples:
      | answer    | moment                 |
      | an answer | after the registration |
      | an answer | before it              |
      | no answer | after the registration |
      | no answer | before it              |

  Scenario: A registration that is stored without an answer is not repeated
    Guards against a registration that never ends, as its own row fails its check.
    Given an instance whose process registers and gets no answer
    When the write of the process takes effect
    Then the process is registered after one more call

  Scenario: An instance that restarts at its address counts as the latest one
    Guards against a leadership that is handed to an instance which has not
    restarted yet, in a rolling restart.
    Given two instances that have registered one after the other
    When the first one registers again at the same address
    Then its row is the latest one
