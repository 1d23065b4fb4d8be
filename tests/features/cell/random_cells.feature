Feature: A step that could run does not wait when all is calm

  Scenario: Random cells start every step that fits
    Guards against state that withholds a step, a worker or a call for longer
    than its cause lasts (LOST).
    When the random cells with the seeds 1 to 20 are played
    Then no step that could run waits for more than 3 s when all is calm
