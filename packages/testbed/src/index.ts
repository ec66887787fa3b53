export { CollectingSink } from './CollectingSink.js'
export { FakeOrderChannel } from './FakeOrderChannel.js'
export { Testbed } from './Testbed.js'
export type * from './types.js'
