<#list volumes as volume>
volume ${volume.name}: ${volume.operations} operations, ${volume.met} in time, ${volume.late} late, ${volume.declined} declined, ${volume.scrapped} scrapped, ${volume.left} left by their client
  utility lost: ${volume.utilityLost?string("0.0")}
  where its time went:
<#list volume.parts as part>
    ${(part.share * 100)?string("0.0")?left_pad(5)} %  ${part.seconds?string("0.000")?left_pad(10)} s  ${part.name}
</#list>
  what caused it:
<#list volume.causes as cause>
    ${(cause.share * 100)?string("0.0")?left_pad(5)} %  ${cause.seconds?string("0.000")?left_pad(10)} s  ${cause.text}
</#list>

</#list>
