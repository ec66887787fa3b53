export { explainRequest } from './explainRequest.js'
export { parseLines } from './parseLines.js'
export { showStory } from './showStory.js'
export type * from './types.js'
