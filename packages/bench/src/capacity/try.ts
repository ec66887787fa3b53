import { seconds } from '@papayahill/common'
import { CapacityFleet } from './CapacityFleet.js'
const [i, e, w] = process.argv.slice(2).map(Number)
const fleet = new CapacityFleet({ instances: i!, endpoints: e!, workspaces: w! })
const t0 = Date.now()
await fleet.start()
console.log('started', Date.now() - t0, process.memoryUsage().heapUsed / 1e6)
console.log(JSON.stringify(await fleet.measure(seconds(10)), null, 1), Date.now() - t0)
process.exit(0)
