import { seconds } from '@papayahill/common'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { DutyHarness } from './testing/DutyHarness.js'
import { checkRules, leaseCommands, MODEL_SIZE } from './testing/leaseCommands.js'

/** Depth of the model: commands in one run, and runs. */
const MAX_COMMANDS = 60
const RUNS = 400
const SEED = 20

/** Runs the model until a rule is broken; returns the failure and the commands that led to it. */
const findFault = async (checksBeforeSend: boolean): Promise<string | undefined> => {
  const property = fc.asyncProperty(leaseCommands(MAX_COMMANDS), fc.nat({ max: 1000 }), async (commands, seed) => {
    const harness = new DutyHarness({ size: MODEL_SIZE, seed, checksBeforeSend })
    await harness.startAll()
    const system = { harness, copies: [] }
    await fc.asyncModelRun(() => ({ model: {}, real: system }), commands)
    await harness.clock.advance(seconds(5))
    checkRules(system)
  })
  const { failed, counterexample, errorInstance } = await fc.check(property, { numRuns: RUNS, seed: SEED, endOnFailure: true })
  return failed ? `${String(errorInstance)}: ${String(counterexample)}` : undefined
}

describe('the lease, its row and its calls', () => {
  it('keep R1 to R4 under faults of instances, clocks, links and the store', async () => {
    expect(await findFault(true)).toBeUndefined()
  }, 120_000)

  it('break a rule if the check before the send is switched off, so that the model can find the fault', async () => {
    expect(await findFault(false)).toMatch(/R[123]: /)
  }, 120_000)
})
