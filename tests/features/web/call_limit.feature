Feature: The limit of a call follows how long answers take

  Scenario Outline: Limits after answers and silences
    Guards against repeating calls that wait in the queue of a slow server, or
    waiting long for an answer that was lost.
    Given answers that took <answers> ms
    When calls are given up <silences> times
    Then the next call may take <least> to <most> ms

    Examples:
      | answers              | silences | least | most |
      | 4 4 4 4 4 4 4 4 4 4  | 0        | 300   | 300  |
      | 4 4 4 4 4 4 4 4 4 4  | 2        | 300   | 300  |
      | 4 4 4 4 4 4 4 4 4 4  | 3        | 600   | 600  |
      | 4 4 4 4 4 4 4 4 4 4  | 8        | 2600  | 2600 |
      | 330 330 330          | 0        | 2600  | 2600 |
      | 330 4 4 4 4 4 4 4 4 4 | 0       | 300   | 400  |
