import { seconds } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { chainOf, endpointsOf, StageHarness, workOf } from './testing/StageHarness.js'

describe('BatchCoordinator', () => {
  // Guards against groups of services that nobody calls any more, each of which is planned anew at every tick.
  it('does not keep groups that have nothing queued or in progress', async () => {
    const services = Array.from({ length: 20 }, (_none, at) => `encode${at}`)
    const harness = new StageHarness(1, services.flatMap((service) => endpointsOf(service, 1)))
    await harness.start()
    const served = services.map((service) => harness.serve(0, workOf(harness, service, chainOf(1, service), [2], seconds(5), seconds(5))))
    await harness.clock.advance(seconds(5))
    expect((await Promise.all(served)).every((took) => took !== undefined)).toBe(true)
    expect(harness.instances[0]!.coordinator.groupCount).toBe(0)
  })
})
